#include "Benchmark.h"
#include "PeerMessages.h"
#include "VirtualFleet.h"

#include <goldcrestkeel/net/DocumentCodec.h>

#include <malloc.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cmath>
#include <ctime>
#include <limits>

namespace goldcrestkeel::benchmark {

namespace {

using namespace std::chrono_literals;

/** Fleet size and rate of configuration changes to which the measurements are
 *  extrapolated. */
constexpr double kTargetHosts = 800;
constexpr double kTargetReplicas = 4300;
constexpr double kChangesPerSecond = 570.0 / 86400;
/** Size of the TCP, IP and Thrift headers and of the envelope (key id, sender,
 *  time, nonce, MAC) of one message. */
constexpr double kMessageOverheadBytes = 190;

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

double
CpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

std::string
Encode(const GossipMessage& aMessage)
{
  namespace transport = apache::thrift::transport;
  auto buffer = std::make_shared<transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  ToMessage(aMessage).write(&protocol);
  return buffer->getBufferAsString();
}

GossipMessage
Decode(const std::string& aData)
{
  namespace transport = apache::thrift::transport;
  auto buffer = std::make_shared<transport::TMemoryBuffer>();
  buffer->write(reinterpret_cast<const std::uint8_t*>(aData.data()),
                static_cast<std::uint32_t>(aData.size()));
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  peer::Gossip gossip;
  gossip.read(&protocol);
  return FromMessage(gossip);
}

/** Least-squares line through measured points, to extrapolate to a larger
 *  fleet. */
class LinearFit
{
public:
  void Add(double aX, double aY)
  {
    m_count += 1;
    m_x += aX;
    m_y += aY;
    m_xx += aX * aX;
    m_xy += aX * aY;
  }
  double At(double aX) const
  {
    const double slope =
      (m_count * m_xy - m_x * m_y) / (m_count * m_xx - m_x * m_x);
    return (m_y - slope * m_x) / m_count + slope * aX;
  }

private:
  double m_count = 0;
  double m_x = 0;
  double m_y = 0;
  double m_xx = 0;
  double m_xy = 0;
};

/** Invariant handler that counts violations, which are reported as a figure. */
class ViolationCounter : public InvariantHandler
{
public:
  ViolationCounter()
    : m_previous(SetInvariantHandler(this))
  {
  }
  ~ViolationCounter() override { SetInvariantHandler(m_previous); }
  void Violated(InvariantId, const std::string&) override { ++m_count; }
  std::uint64_t m_count = 0;

private:
  InvariantHandler* m_previous;
};

// ---- config ---------------------------------------------------------------

class ConfigurationBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "config"; }
  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    std::vector<Figure> figures;
    figures.push_back(
      { "config.in_force_ms_max",
        MaxPropagationMs({ .m_loss = 0.01, .m_seed = aSeed }, 200),
        Bound::AtMost,
        2000,
        {} });
    figures.push_back({ "config.in_force_ms_max_800",
                        MaxPropagationMs({ .m_hosts = 800,
                                           .m_dataCentres = 5,
                                           .m_delay = 20ms,
                                           .m_loss = 0.01,
                                           .m_seed = aSeed },
                                         2),
                        Bound::AtMost,
                        5000,
                        {} });
    RunFaults(aSeed, figures);
    for (std::size_t hosts : { 7, 50, 200, 400 }) {
      figures.push_back(
        { "config.store_calls_per_host_per_minute_" + std::to_string(hosts),
          StoreCallsPerHost(aSeed, hosts),
          Bound::None,
          0,
          {} });
    }
    return figures;
  }

private:
  /** Longest time in milliseconds from the write of a change until it is in
   *  force on all hosts. Each store call takes 600 ms. Infinity if a change did
   *  not reach all hosts. */
  double MaxPropagationMs(const VirtualFleet::Options& aOptions, int aChanges)
  {
    VirtualFleet fleet(aOptions);
    fleet.GetFakeStore().m_delay = 600ms;
    fleet.StartAllHosts();
    fleet.Run(10s);
    for (int i = 0; i < aChanges; ++i) {
      fleet.Change(fleet.Random().Below(fleet.Size()),
                   "op" + std::to_string(i),
                   "tender",
                   0.004 * i);
      fleet.Run(8s);
    }
    const bool everywhere =
      fleet.AllHostsHaveRevision(static_cast<Revision>(aChanges)) &&
      fleet.StoredConfiguration().m_revision == static_cast<Revision>(aChanges);
    return everywhere ? Milliseconds(fleet.MaxPropagationTime())
                      : std::numeric_limits<double>::infinity();
  }

  void RunFaults(std::uint64_t aSeed, std::vector<Figure>& aFigures)
  {
    ViolationCounter counter;
    std::uint64_t rollbacks = 0;
    std::uint64_t lostAccepted = 0;
    std::uint64_t lostIfAcceptedAtWrite = 0;
    std::uint64_t changes = 0;
    for (std::uint64_t run = 0; run < 100; ++run) {
      VirtualFleet fleet({ .m_loss = 0.02, .m_seed = aSeed * 1000 + run });
      fleet.StartAllHosts();
      fleet.Run(3s);
      for (int step = 0; step < 150; ++step) {
        const std::size_t host = fleet.Random().Below(fleet.Size());
        if (fleet.Random().Below(4) != 0) {
          fleet.InjectFault();
        } else if (fleet.At(host).m_up) {
          const std::string id = std::to_string(fleet.Random().Below(60));
          fleet.Change(host, "op" + id, "s" + id, 0.5);
        }
        fleet.Run(Duration{
          static_cast<Duration::rep>(fleet.Random().Below(4000000)) });
      }
      fleet.ClearFaults();
      fleet.Run(60s);
      rollbacks += fleet.RevisionRollbacks();
      lostAccepted += fleet.LostAcceptedChanges();
      lostIfAcceptedAtWrite += fleet.LostIfAcceptedAtWrite();
      changes += fleet.StoredConfiguration().m_revision;
    }
    aFigures.push_back({ "config.reverts",
                         static_cast<double>(rollbacks),
                         Bound::AtMost,
                         0,
                         {} });
    // The baseline counts a change as accepted when it is written.
    aFigures.push_back({ "config.lost_accepted",
                         static_cast<double>(lostAccepted),
                         Bound::AtMost,
                         0,
                         static_cast<double>(lostIfAcceptedAtWrite) });
    aFigures.push_back({ "config.violations",
                         static_cast<double>(counter.m_count),
                         Bound::AtMost,
                         0,
                         {} });
    aFigures.push_back({ "config.changes_under_faults",
                         static_cast<double>(changes),
                         Bound::None,
                         0,
                         {} });
  }

  /** Store calls of each host in one minute with one change. */
  double StoreCallsPerHost(std::uint64_t aSeed, std::size_t aHosts)
  {
    VirtualFleet fleet(
      { .m_hosts = aHosts, .m_dataCentres = 5, .m_seed = aSeed });
    fleet.StartAllHosts();
    fleet.Run(5s);
    const std::uint64_t callsBefore = fleet.GetFakeStore().m_calls;
    fleet.Change(0, "op", "tender", 0.5);
    fleet.Run(60s);
    return static_cast<double>(fleet.GetFakeStore().m_calls - callsBefore) /
           static_cast<double>(aHosts);
  }
};

// ---- membership -----------------------------------------------------------

class MembershipBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "membership"; }
  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    std::vector<Figure> figures;
    figures.push_back({ "membership.detect_ms_p99",
                        DetectionMsP99(aSeed, 7, 100, false),
                        Bound::None,
                        0,
                        {} });
    figures.push_back({ "membership.detect_refused_ms_p99",
                        DetectionMsP99(aSeed, 7, 100, true),
                        Bound::None,
                        0,
                        {} });
    figures.push_back({ "membership.detect_ms_p99_100",
                        DetectionMsP99(aSeed, 100, 30, false),
                        Bound::None,
                        0,
                        {} });
    figures.push_back(
      { "membership.false_dead",
        CountFalseDead(aSeed, 7, 3600s) + CountFalseDead(aSeed, 50, 600s),
        Bound::AtMost,
        0,
        {} });
    return figures;
  }

private:
  /** p99 of the time in milliseconds until all other hosts have declared a host
   *  dead that stopped answering, or whose process ended (aProcessEnded). */
  double DetectionMsP99(std::uint64_t aSeed,
                        std::size_t aHosts,
                        int aRuns,
                        bool aProcessEnded)
  {
    VirtualFleet fleet({ .m_hosts = aHosts, .m_loss = 0.01, .m_seed = aSeed });
    fleet.StartAllHosts();
    fleet.Run(20s);
    std::vector<double> times;
    for (int run = 0; run < aRuns; ++run) {
      const std::size_t victim = fleet.Random().Below(aHosts);
      const auto allOthersSee = [&](std::uint32_t aLiveHosts) {
        for (std::size_t i = 0; i < aHosts; ++i) {
          if (i != victim &&
              fleet.Node(i).Members().LiveHosts() != aLiveHosts) {
            return false;
          }
        }
        return true;
      };
      const auto size = static_cast<std::uint32_t>(aHosts);
      fleet.Run(
        Duration{ static_cast<Duration::rep>(fleet.Random().Below(1000000)) });
      if (aProcessEnded) {
        fleet.KillHost(victim);
      } else {
        fleet.PauseHost(victim);
      }
      const TimePoint failedAt = fleet.Now();
      fleet.RunUntil([&] { return allOthersSee(size - 1); }, 60s);
      times.push_back(Milliseconds(fleet.Now() - failedAt));
      if (aProcessEnded) {
        fleet.StartHost(victim);
      } else {
        fleet.ResumeHost(victim);
      }
      fleet.RunUntil([&] { return allOthersSee(size); }, 120s);
    }
    return Quantile(times, 0.99);
  }

  /** Number of running hosts that other hosts consider dead, summed over one
   *  check per second, with 5% message loss. */
  double CountFalseDead(std::uint64_t aSeed, std::size_t aHosts, Duration aTime)
  {
    VirtualFleet fleet({ .m_hosts = aHosts, .m_loss = 0.05, .m_seed = aSeed });
    fleet.StartAllHosts();
    fleet.Run(10s);
    double dead = 0;
    for (Duration time{ 0 }; time < aTime; time += 1s) {
      fleet.Run(1s);
      for (std::size_t i = 0; i < aHosts; ++i) {
        dead +=
          static_cast<double>(aHosts) - fleet.Node(i).Members().LiveHosts();
      }
    }
    return dead;
  }
};

// ---- control --------------------------------------------------------------

class ControlBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "control"; }
  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    LinearFit gossipBytes;
    LinearFit cpu;
    LinearFit memberBytes;
    LinearFit replicaBytes;
    LinearFit pushBytes;
    LinearFit adoptSeconds;
    for (std::size_t hosts : { 50, 100, 200, 400 }) {
      const auto x = static_cast<double>(hosts);
      MeasureFleet(aSeed, hosts, gossipBytes, cpu);
      memberBytes.Add(x, MemberTableBytes(hosts));
    }
    for (std::size_t replicas : { 500, 1000, 2000, 4000 }) {
      MeasureDocument(replicas, replicaBytes, pushBytes, adoptSeconds);
    }
    // Each host receives a document once and sends it once on average.
    const double push = 2 * pushBytes.At(kTargetReplicas) * kChangesPerSecond;
    const double adopt = adoptSeconds.At(kTargetReplicas) * kChangesPerSecond;
    const double gossip = gossipBytes.At(kTargetHosts);
    constexpr double kMegabyte = 1e6;
    return {
      { "control.bytes_per_s", gossip + push, Bound::AtMost, 10000, {} },
      { "control.gossip_bytes_per_s", gossip, Bound::None, 0, {} },
      { "control.push_bytes",
        pushBytes.At(kTargetReplicas),
        Bound::None,
        0,
        {} },
      { "control.core_share",
        cpu.At(kTargetHosts) + adopt,
        Bound::AtMost,
        0.017,
        {} },
      { "control.adopt_ms",
        adoptSeconds.At(kTargetReplicas) * 1000,
        Bound::None,
        0,
        {} },
      { "control.memory_mb",
        (memberBytes.At(kTargetHosts) + replicaBytes.At(kTargetReplicas)) /
          kMegabyte,
        Bound::AtMost,
        32,
        {} },
    };
  }

private:
  /** Measures the bytes that one host sends per second, and its CPU time per
   *  second for messages and timers. Each message is encoded and decoded. */
  void MeasureFleet(std::uint64_t aSeed,
                    std::size_t aHosts,
                    LinearFit& aBytes,
                    LinearFit& aCpu)
  {
    constexpr int kSeconds = 30;
    VirtualFleet fleet({ .m_hosts = aHosts,
                         .m_dataCentres = 5,
                         .m_loss = 0.01,
                         .m_seed = aSeed });
    fleet.StartAllHosts();
    fleet.Run(60s);
    double bytes = 0;
    fleet.m_onSend = [&](std::size_t, const ControlAction& aAction) {
      const GossipMessage* message = nullptr;
      if (const auto* probe = std::get_if<SendProbe>(&aAction)) {
        message = &probe->m_message;
      } else if (const auto* answer = std::get_if<AnswerProbe>(&aAction)) {
        message = &answer->m_message;
      }
      if (message != nullptr) {
        const std::string data = Encode(*message);
        bytes += static_cast<double>(data.size()) + kMessageOverheadBytes;
        Decode(data);
      }
    };
    const double cpuBefore = CpuSeconds();
    fleet.Run(std::chrono::seconds{ kSeconds });
    const double cpuSeconds = CpuSeconds() - cpuBefore;
    const auto x = static_cast<double>(aHosts);
    aBytes.Add(x, bytes / x / kSeconds);
    aCpu.Add(x, cpuSeconds / x / kSeconds);
  }

  /** Heap size in bytes of one member table with aHosts members. */
  double MemberTableBytes(std::size_t aHosts)
  {
    constexpr int kTables = 8;
    const auto random = MakeSeededRandom(1);
    const double heapBefore = static_cast<double>(mallinfo2().uordblks);
    std::vector<std::unique_ptr<MembershipTable>> tables;
    for (int i = 0; i < kTables; ++i) {
      MemberEntry self{ "entry-host-0", "192.0.2.10:9000", "dc-1", 1 };
      tables.push_back(std::make_unique<MembershipTable>(self, *random));
      GossipMessage message;
      message.m_sender = { "entry-host-1", "192.0.2.11:9000", "dc-1", 1 };
      for (std::size_t host = 2; host < aHosts; ++host) {
        message.m_members.push_back({ "entry-host-" + std::to_string(host),
                                      "192.0.2.10:" + std::to_string(host),
                                      "dc-1",
                                      1 });
      }
      ControlActions actions;
      tables.back()->ProbeReceived(TimePoint{ 1s }, 1, message, "", actions);
    }
    return (static_cast<double>(mallinfo2().uordblks) - heapBefore) / kTables;
  }

  static Configuration MakeConfiguration(std::size_t aReplicas)
  {
    Configuration configuration;
    configuration.m_revision = 1;
    ServiceSpec spec;
    spec.m_name = "catalogue";
    for (std::size_t i = 0; i < aReplicas; ++i) {
      const std::string shard = "shard-" + std::to_string(i / 3);
      if (i % 3 == 0) {
        spec.m_shards.push_back(shard);
      }
      ReplicaSpec replica;
      replica.m_id = "catalogue-" + std::to_string(i);
      replica.m_address = "10." + std::to_string(i * 37 % 256) + "." +
                          std::to_string(i * 91 % 256) + "." +
                          std::to_string(i % 251) + ":7001";
      replica.m_dataCentre = "dc-" + std::to_string(i % 5);
      replica.m_region = "region-" + std::to_string(i % 2);
      replica.m_shard = shard;
      replica.m_slots = 3;
      replica.m_connections = 30;
      spec.m_replicas.push_back(std::move(replica));
    }
    configuration.m_services.emplace(spec.m_name, std::move(spec));
    return configuration;
  }

  /** Measures the heap size of a configuration and its text, the size of a
   *  pushed document, and the CPU time to receive a document and to compress it
   *  for the next host. */
  void MeasureDocument(std::size_t aReplicas,
                       LinearFit& aMemory,
                       LinearFit& aPush,
                       LinearFit& aAdopt)
  {
    const auto x = static_cast<double>(aReplicas);
    const std::string text =
      SerializeConfiguration(MakeConfiguration(aReplicas));
    const std::string compressed = CompressDocument(text);
    aPush.Add(x,
              static_cast<double>(compressed.size()) + kMessageOverheadBytes);
    const double heapBefore = static_cast<double>(mallinfo2().uordblks);
    const double start = CpuSeconds();
    const auto copy =
      std::make_unique<std::string>(DecompressDocument(compressed));
    const auto parsed =
      std::make_unique<Configuration>(ParseConfiguration(*copy));
    CompressDocument(*copy);
    aAdopt.Add(x, CpuSeconds() - start);
    // mallinfo2().uordblks excludes blocks that the allocator maps
    // individually, so the text is added.
    const double heap = static_cast<double>(mallinfo2().uordblks) - heapBefore;
    aMemory.Add(x, heap + static_cast<double>(copy->capacity()));
  }
};

ConfigurationBenchmark sConfiguration;
MembershipBenchmark sMembership;
ControlBenchmark sControl;
const BenchmarkRegistration kConfiguration(sConfiguration);
const BenchmarkRegistration kMembership(sMembership);
const BenchmarkRegistration kControl(sControl);

} // namespace

} // namespace goldcrestkeel::benchmark
