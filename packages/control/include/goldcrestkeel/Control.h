/** Umbrella header of the control library: configuration, membership and
 *  at-most-once commands. The library does no input or output. Include this
 *  header only, not the headers that it includes. */
#pragma once

#include <goldcrestkeel/control/CommandGuard.h>
#include <goldcrestkeel/control/Configuration.h>
#include <goldcrestkeel/control/ConfigurationChange.h>
#include <goldcrestkeel/control/ConfigurationManager.h>
#include <goldcrestkeel/control/ControlActions.h>
#include <goldcrestkeel/control/ControlNode.h>
#include <goldcrestkeel/control/Membership.h>
#include <goldcrestkeel/control/MembershipTable.h>
#include <goldcrestkeel/control/Store.h>
