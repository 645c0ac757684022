#pragma once

/** Sockets of an entry host that forwards requests of callers to replicas. */

#include <goldcrestkeel/edge/DecisionLog.h>
#include <goldcrestkeel/edge/EdgeServer.h>
#include <goldcrestkeel/edge/EdgeSettings.h>
#include <goldcrestkeel/edge/FieldNames.h>
#include <goldcrestkeel/edge/HttpCaller.h>
#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/edge/Loop.h>
#include <goldcrestkeel/edge/TopologySource.h>
