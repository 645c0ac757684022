#include "ServerFixture.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace goldcrestkeel::testing {

std::string
FreeAddress()
{
  // Addresses of this process alone: a port of 127.0.0.1 that was free can be
  // taken by another process, or by a connection, before it is listened on.
  constexpr unsigned kHostsPerProcess = 254;
  static unsigned sCalls = 0;
  const auto process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + (process >> 8U) % 60) + "." +
         std::to_string(process % 256) + "." +
         std::to_string(1 + sCalls++ % kHostsPerProcess) + ":18080";
}

std::shared_ptr<RoutingTable>
OneReplica::MakeTable(RoutingVersion aVersion) const
{
  auto table = std::make_shared<RoutingTable>();
  table->m_version = aVersion;
  Route route;
  route.m_name = "lookup";
  route.m_host = "shop.example";
  route.m_pathPrefix = "/lookup/";
  route.m_idempotent = m_idempotent;
  route.m_timeout = std::chrono::seconds(30);
  route.m_target = std::chrono::seconds(1);
  route.m_services = { { "single", 1 } };
  table->m_routes = { route };
  table->m_services["single"] = { "single", 100 };
  return table;
}

void
OneReplica::Apply(std::shared_ptr<RoutingTable> aTable)
{
  aTable->Index();
  m_listener->OnRoutingTable(std::move(aTable));
}

void
OneReplica::Start(TopologyListener& aListener)
{
  m_listener = &aListener;
  if (m_hasTable) {
    Apply(MakeTable(1));
  }
  ReplicaRecord replica;
  replica.m_id = "r";
  replica.m_service = "single";
  replica.m_address = m_address;
  aListener.OnReplica(replica, std::nullopt);
  aListener.OnReplicaListComplete();
}

Caller::Caller(const std::string& aAddress)
  : m_socket(socket(AF_INET, SOCK_STREAM, 0))
{
  const auto address = ParseSocketAddress(aAddress);
  REQUIRE(connect(m_socket,
                  reinterpret_cast<const sockaddr*>(&*address),
                  sizeof *address) == 0);
  fcntl(m_socket, F_SETFL, O_NONBLOCK);
}

Caller::~Caller()
{
  close(m_socket);
}

void
Caller::Send(const std::string& aBytes) const
{
  REQUIRE(send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(aBytes.size()));
}

const std::string&
Caller::Received()
{
  std::array<char, 4096> buffer{};
  ssize_t count = 0;
  while ((count = recv(m_socket, buffer.data(), buffer.size(), 0)) > 0) {
    m_received.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return m_received;
}

LogFile::LogFile()
  : m_descriptor(memfd_create("log", 0))
{
}

LogFile::~LogFile()
{
  close(m_descriptor);
}

ServerFixture::ServerFixture(bool aIdempotent, bool aHasTable)
  : m_source(m_replica.Address(), aIdempotent, aHasTable)
{
  m_settings.m_hostId = "h1";
  m_settings.m_callerAddress = FreeAddress();
  m_settings.m_readinessAddress = FreeAddress();
  m_settings.m_relayAddress = FreeAddress();
  m_settings.m_metricsAddress = FreeAddress();
  m_settings.m_grace = std::chrono::seconds(4);
  m_server.emplace(m_loop,
                   m_log,
                   m_settings,
                   EdgeFieldNames{ "Id",
                                   "Deadline",
                                   "Target",
                                   "Stamp",
                                   "Load",
                                   "Limit",
                                   "Leaving",
                                   "Not-Run",
                                   "Shards",
                                   "Missing",
                                   "Instance",
                                   "Key",
                                   "Token",
                                   "Tenant",
                                   "Warmup" },
                   m_source);
}

void
ServerFixture::RunUntil(const std::function<bool()>& aDone, Duration aLimit)
{
  const TimePoint end = m_loop.Now() + aLimit;
  while (!aDone() && m_loop.Now() < end) {
    m_loop.RunOnce(false);
    m_replica.Accept();
    usleep(1000);
  }
}

std::string
ServerFixture::Log()
{
  m_log.Flush();
  const int file = m_logFile.m_descriptor;
  std::string lines(static_cast<std::size_t>(lseek(file, 0, SEEK_END)), '\0');
  REQUIRE(pread(file, lines.data(), lines.size(), 0) ==
          static_cast<ssize_t>(lines.size()));
  return lines;
}

} // namespace goldcrestkeel::testing
