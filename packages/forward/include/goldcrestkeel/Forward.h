#pragma once

/** Forwarding of opaque requests: routing, replica selection, hedging, retries
 *  and scatter-gather over shards. Performs no I/O. */

#include <goldcrestkeel/forward/CrashReport.h>
#include <goldcrestkeel/forward/Forwarder.h>
#include <goldcrestkeel/forward/HostRecord.h>
#include <goldcrestkeel/forward/ReplicaRecord.h>
#include <goldcrestkeel/forward/RoutingTable.h>
#include <goldcrestkeel/forward/Tenant.h>
#include <goldcrestkeel/forward/TenantKeys.h>
