#pragma once

/** Forwarding of opaque requests: routes, replicas, hedges and answers made of
 *  the parts of several shards. No input or output. */

#include <goldcrestkeel/forward/Forwarder.h>
#include <goldcrestkeel/forward/HostRecord.h>
#include <goldcrestkeel/forward/ReplicaRecord.h>
#include <goldcrestkeel/forward/RoutingTable.h>
