#pragma once

/** Network side of an entry host: HTTP connections to callers, replicas and
 *  other entry hosts, and the server that forwards requests between them. */

#include <goldcrestkeel/edge/DecisionLog.h>
#include <goldcrestkeel/edge/EdgeServer.h>
#include <goldcrestkeel/edge/EdgeSettings.h>
#include <goldcrestkeel/edge/FieldNames.h>
#include <goldcrestkeel/edge/HttpCaller.h>
#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/edge/JsonNumbers.h>
#include <goldcrestkeel/edge/Loop.h>
#include <goldcrestkeel/edge/Numbers.h>
#include <goldcrestkeel/edge/QuarantineRecord.h>
#include <goldcrestkeel/edge/SharedFeed.h>
#include <goldcrestkeel/edge/TopologySource.h>
