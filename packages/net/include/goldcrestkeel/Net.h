/** Umbrella header of the network library: HTTP, the peer protocol, the store
 *  client, settings, logging and metrics. Other libraries include this header
 *  only. */
#pragma once

#include <goldcrestkeel/net/Address.h>
#include <goldcrestkeel/net/Api.h>
#include <goldcrestkeel/net/BackendClient.h>
#include <goldcrestkeel/net/CommandDriver.h>
#include <goldcrestkeel/net/ControlDriver.h>
#include <goldcrestkeel/net/EventLoop.h>
#include <goldcrestkeel/net/HostList.h>
#include <goldcrestkeel/net/HttpBackendClient.h>
#include <goldcrestkeel/net/HttpClient.h>
#include <goldcrestkeel/net/HttpFront.h>
#include <goldcrestkeel/net/Lifecycle.h>
#include <goldcrestkeel/net/Log.h>
#include <goldcrestkeel/net/Metrics.h>
#include <goldcrestkeel/net/PeerClient.h>
#include <goldcrestkeel/net/PeerCommands.h>
#include <goldcrestkeel/net/PeerDispatch.h>
#include <goldcrestkeel/net/PeerEnvelope.h>
#include <goldcrestkeel/net/PeerServer.h>
#include <goldcrestkeel/net/SearchDriver.h>
#include <goldcrestkeel/net/Settings.h>
#include <goldcrestkeel/net/StoreClient.h>
#include <goldcrestkeel/net/SystemClock.h>
