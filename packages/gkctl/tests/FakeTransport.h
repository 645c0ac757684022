#pragma once

#include "SubCommand.h"

#include <deque>
#include <sstream>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Returns prepared responses and records the requests. */
class FakeTransport : public Transport
{
public:
  Response Send(const Request& aRequest) override
  {
    m_requests.push_back(aRequest);
    if (m_responses.empty()) {
      return { Delivery::NotSent, 0, "", "no response prepared" };
    }
    Response response = m_responses.front();
    m_responses.pop_front();
    return response;
  }

  void Prepare(int aStatus, std::string aBody)
  {
    m_responses.push_back(
      { Delivery::Answered, aStatus, std::move(aBody), "" });
  }

  std::deque<Response> m_responses;
  std::vector<Request> m_requests;
};

/** Runs gkctl without a network. */
class GkctlRun
{
public:
  ExitCode Run(const std::vector<std::string>& aArguments,
               const std::string& aInput = {})
  {
    std::istringstream input(aInput);
    m_out.str("");
    m_err.str("");
    const Environment environment{
      m_out, m_err, input, m_transport, *m_random
    };
    return RunGkctl(environment, aArguments);
  }

  /** Returns the body of request number aIndex, counted from 0. */
  nlohmann::json Sent(std::size_t aIndex) const
  {
    return nlohmann::json::parse(m_transport.m_requests.at(aIndex).m_body);
  }

  FakeTransport m_transport;
  std::unique_ptr<RandomSource> m_random = MakeSeededRandom(1);
  std::ostringstream m_out;
  std::ostringstream m_err;
};

} // namespace goldcrestkeel::gkctl
