#include <goldcrestkeel/Edge.h>
#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <array>
#include <string>

using namespace goldcrestkeel;

// Guards against a log that blocks the event loop: if its reader is stuck,
// lines are dropped instead.
TEST_CASE("The log drops lines while its reader is stuck", "[log]")
{
  constexpr int kLines = 20000;
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const SystemClock clock;
  Loop loop(clock);
  DecisionLog log(loop, ends[1], "h1");
  for (int i = 0; i < kLines; ++i) {
    log.Write(
      LogPriority::Process, "event", { { "number", std::int64_t{ i } } });
    if (i % 100 == 0) {
      log.Flush();
    }
  }
  REQUIRE(log.DroppedLines() > 0);

  SECTION("and reports their number once it is read again")
  {
    REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
    std::string text;
    std::array<char, 4096> buffer{};
    const auto drain = [&] {
      log.Flush();
      ssize_t count = 0;
      while ((count = read(ends[0], buffer.data(), buffer.size())) > 0) {
        text.append(buffer.data(), static_cast<std::size_t>(count));
      }
    };
    for (int round = 0; round < 20; ++round) {
      drain();
    }
    const std::size_t before = text.size();
    log.Write(LogPriority::Process,
              "again",
              { { "text", std::string_view("a \"quote\"") } });
    drain();
    const auto line = nlohmann::json::parse(text.substr(before));
    REQUIRE(line.at("event") == "again");
    REQUIRE(line.at("text") == "a \"quote\"");
    REQUIRE(line.at("lines_left_out") == log.DroppedLines());
  }

  close(ends[0]);
  close(ends[1]);
}

// Guards against a caller that fills the log with a header of the largest size.
TEST_CASE("Long texts are cut in the log", "[log]")
{
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const SystemClock clock;
  Loop loop(clock);
  DecisionLog log(loop, ends[1], "h1");
  const std::string id(64 * 1024, 'x');
  log.Write(
    LogPriority::Request, "answer", { { "request", std::string_view(id) } });
  log.Flush();
  std::array<char, 8192> buffer{};
  const ssize_t count = read(ends[0], buffer.data(), buffer.size());
  REQUIRE(count > 0);
  const auto line = nlohmann::json::parse(
    std::string_view(buffer.data(), static_cast<std::size_t>(count)));
  const auto text = line.at("request").get<std::string>();
  REQUIRE_FALSE(text.empty());
  REQUIRE(id.starts_with(text));
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("The rate limit applies to lines about requests only", "[log]")
{
  const int descriptor = open("/dev/null", O_WRONLY);
  const SystemClock clock;
  Loop loop(clock);
  DecisionLog log(loop, descriptor, "h1");
  for (int i = 0; i < 1000; ++i) {
    log.Write(LogPriority::Request, "answer", {});
  }
  const std::uint64_t dropped = log.DroppedLines();
  REQUIRE(dropped > 0);
  log.Write(LogPriority::Process, "stopping", {});
  REQUIRE(log.DroppedLines() == dropped);
  close(descriptor);
}
