#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <map>

#include "damaged_message.h"
#include "platform_site.h"
#include "raw_server.h"
#include "soak_proxy.h"

/// Servers whose responses have a damaged octet.
///
/// Servers in trouble sent heads whose framing was damaged. Callers received
/// them as complete responses with bodies that were not the server's.

namespace filbertrack {
namespace {

constexpr const char* kId = "1000";
constexpr const char* kSeal = "3e1b.07";

struct Form {
  std::string name;
  std::string response;
};

std::string Head(const std::string& more) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + std::string(kId) +
         "\r\nX-Runner-Seal: " + kSeal + "\r\n" + more + "\r\n";
}

std::string Chunk(const std::string& text) {
  constexpr size_t kOneDigit = 16;
  REQUIRE(text.size() < kOneDigit * kOneDigit);
  constexpr std::string_view kDigits = "0123456789abcdef";
  return std::string{kDigits[text.size() / kOneDigit],
                     kDigits[text.size() % kOneDigit]} +
         "\r\n" + text + "\r\n";
}

std::vector<Form> PlainForms() {
  const std::string body = "answer of a server, 1";
  return {{"a length", Head(LengthField(body)) + body},
          {"chunks", Head("Transfer-Encoding: chunked\r\n") + Chunk(body) +
                         Chunk("0\r\n\r\n") + "0\r\n\r\n"},
          {"an interim response first",
           "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
               Head(LengthField(body)) + body}};
}

std::vector<Form> StreamForms() {
  const std::string type = "Content-Type: text/event-stream\r\n";
  const std::string events = ExpectedStream(2);
  return {{"a length", Head(type + LengthField(events)) + events},
          {"chunks", Head(type + "Transfer-Encoding: chunked\r\n") +
                         Chunk(ExpectedStream(1)) +
                         Chunk(events.substr(ExpectedStream(1).size())) +
                         "0\r\n\r\n"}};
}

std::string FieldOf(const ReadMessage& message, const std::string& name) {
  const auto values = damaged_message::ValuesOf(message, name);
  return values.empty() ? "" : values.front();
}

/// Whether the message is a sealed answer to the request of this test.
bool IsAnswer(const ReadMessage& message) {
  const std::string id = FieldOf(message, "x-attempt-id");
  return message.is_complete && message.status >= 200 && message.status < 300 &&
         !FieldOf(message, "x-runner-seal").empty() &&
         (id.empty() || id == kId);
}

/// Entry hosts in front of two servers that answer each request with the form
/// that its path names.
struct BrokenSite : Site {
  explicit BrokenSite(int entry_hosts = 1) : Site(0, entry_hosts) {
    Json config = MakeConfig(2);
    config["routes"].push_back(MakeRoute("raw", "/raw/", "streaming", "plain"));
    config["services"][1]["maxConnections"] = 2 * kBatch;
    store.Put("config", "main", config);
    for (const auto& each : plain) {
      each->Die();
    }
    for (const char* id : {"c1", "c2"}) {
      servers.push_back(std::make_unique<RawServer>(
          loop, [this](std::string_view request) { return Answer(request); }));
      proxies.push_back(
          std::make_unique<soak::Proxy>(loop, servers.back()->address()));
      RegisterAt(id, proxies.back()->address());
    }
    REQUIRE(RunUntil(loop, [this] {
      return std::all_of(nodes.begin(), nodes.end(), [this](const auto& node) {
        return node->host.IsReady() && node->host.catalog()->version() == 2 &&
               node->CountTargets() == servers.size();
      });
    }));
  }
  ~BrokenSite() {
    // Their connections are on the site's loop.
    proxies.clear();
  }

  void RegisterAt(const std::string& id, const Address& address) {
    store.Put("servers", id,
              {{"service", "plain"},
               {"address", address.ToString()},
               {"zone", "z"},
               {"version", "v1"},
               {"slots", 2 * static_cast<int>(kBatch)},
               {"state", "ready"},
               {"coldRemainingMs", 0},
               {"seq", 1}});
  }

  RawReply Answer(std::string_view request) {
    if (!request.starts_with("POST ")) {
      return {"HTTP/1.1 200 OK\r\nX-Runner-Id: c\r\nContent-Length: 0\r\n\r\n",
              KeepOpen{}};
    }
    const size_t slash = request.find('/', request.find('/') + 1);
    const size_t index = std::stoul(std::string(request.substr(slash + 1, 6)));
    ++arrivals[index];
    return {forms.at(index), end};
  }

  /// Sends the requests for the forms from `first` on below `last`, all at
  /// once.
  std::vector<CallerResponse> Send(const std::string& path,
                                   size_t first,
                                   size_t last) {
    std::vector<CallerResponse> got(last - first);
    std::vector<std::unique_ptr<HttpCall>> calls;
    for (size_t i = 0; i < got.size(); ++i) {
      calls.push_back(SendRequest(
          *this, client, path + std::to_string(first + i), kId, got[i]));
    }
    CHECK(RunUntil(loop, [&got] {
      return std::all_of(got.begin(), got.end(),
                         [](const auto& each) { return each.ended; });
    }));
    return got;
  }

  static constexpr size_t kBatch = 200;

  std::vector<std::string> forms;
  ConnectionEnd end = CloseOrderly{};
  std::map<size_t, int> arrivals;
  std::vector<std::unique_ptr<RawServer>> servers;
  std::vector<std::unique_ptr<soak::Proxy>> proxies;
  HttpClient client{loop, 4};
};

/// Checks what the caller got for a response with the octets `bytes`.
void CheckResponse(const CallerResponse& got,
                   const ReadMessage& said,
                   const ReadMessage& sound,
                   int arrivals) {
  const bool is_stream =
      FieldOf(sound, "content-type").starts_with("text/event-stream");
  const bool is_success = !got.failed && got.status >= 200 && got.status < 300;
  if (is_success) {
    REQUIRE(IsAnswer(said));
    REQUIRE(got.status == said.status);
    // Damaged events of a stream are not all passed on.
    if (said.body == sound.body || !is_stream) {
      REQUIRE(got.body == said.body);
    }
    REQUIRE(damaged_message::Trim(FindHeader(got.headers, "X-Runner-Seal")) ==
            FieldOf(said, "x-runner-seal"));
  }
  if (!said.is_malformed) {
    return;
  }
  REQUIRE_FALSE(is_success);
  // The failure is the entry host's own, and comes before the deadline.
  REQUIRE(FindHeader(got.headers, "X-Runner-Seal").empty());
  REQUIRE(got.status != 504);
  if (arrivals > 0) {
    for (const int not_run : {408, 421, 429, 503}) {
      REQUIRE(got.status != not_run);
    }
  }
}

/// Sends a request for each form on a route, and checks the responses. Returns
/// how many of them were successes.
int CheckForms(BrokenSite& site,
               const std::string& path,
               const ReadMessage& sound) {
  int successes = 0;
  const bool is_closed = std::holds_alternative<CloseOrderly>(site.end);
  site.arrivals.clear();
  for (size_t first = 0; first < site.forms.size();
       first += BrokenSite::kBatch) {
    const size_t last = std::min(site.forms.size(), first + BrokenSite::kBatch);
    const auto got = site.Send(path, first, last);
    for (size_t i = first; i < last; ++i) {
      const std::string& bytes = site.forms[i];
      CAPTURE(bytes);
      const ReadMessage said = ReadResponse(bytes, is_closed);
      CheckResponse(got[i - first], said, sound, site.arrivals[i]);
      successes += got[i - first].status == 200 ? 1 : 0;
    }
  }
  return successes;
}

/// The forms whose sender keeps the connection open and that are whole, or that
/// cannot become whole. For the others, a client waits in vain.
void KeepDecidedForms(std::vector<std::string>& forms) {
  std::erase_if(forms, [](const std::string& bytes) {
    const ReadMessage said = ReadResponse(bytes, false);
    return !said.is_malformed && !said.is_complete;
  });
}

void CheckRoute(BrokenSite& site,
                const std::vector<Form>& sound_forms,
                const std::string& path) {
  for (const Form& form : sound_forms) {
    for (const ConnectionEnd& end :
         {ConnectionEnd(CloseOrderly{}), ConnectionEnd(KeepOpen{})}) {
      INFO(path, " ", form.name);
      site.end = end;
      site.forms = SomeDamagedForms(form.response);
      if (std::holds_alternative<KeepOpen>(end)) {
        KeepDecidedForms(site.forms);
      }
      // The whole response is passed on, after all others as well.
      site.forms.push_back(form.response);
      CHECK(CheckForms(site, path, ReadResponse(form.response, false)) > 0);
      CHECK(std::all_of(site.arrivals.begin(), site.arrivals.end(),
                        [](const auto& row) { return row.second > 0; }));
      CHECK(site.Send(path, site.forms.size() - 1, site.forms.size())
                .front()
                .status == 200);
    }
  }
}

TEST_CASE("a damaged response is a failure or what its bytes say") {
  // Guards against an answer with a body that is not the server's, and against
  // callers that wait for their deadline.
  for (const char* path : {"/safe/", "/once/"}) {
    BrokenSite site;
    CheckRoute(site, PlainForms(), path);
  }
}

TEST_CASE("a response whose status is none is a failure before the deadline") {
  // Guards against a status that no caller knows, and against a wait for the
  // final response after an interim status that is none.
  for (const char* path : {"/safe/", "/once/", "/raw/"}) {
    BrokenSite site;
    const Form sound = PlainForms().front();
    for (const char* status :
         {"000", "0", "1", "20", "99", "099", "0200", "600", "999"}) {
      site.forms.push_back(sound.response);
      site.forms.back().replace(sound.response.find("200"), 3, status);
    }
    for (const ConnectionEnd& end :
         {ConnectionEnd(CloseOrderly{}), ConnectionEnd(KeepOpen{})}) {
      site.end = end;
      CHECK(CheckForms(site, path, ReadResponse(sound.response, false)) == 0);
    }
  }
}

TEST_CASE("a damaged stream is a failure or what its bytes say") {
  BrokenSite site;
  CheckRoute(site, StreamForms(), "/raw/");
}

/// Two entry hosts of which the first reaches no server and forwards all
/// requests to the other one.
struct ForwardingSite : BrokenSite {
  ForwardingSite() : BrokenSite(2) {
    for (const auto& proxy : proxies) {
      proxy->Cut(nodes.front()->settings.Text("servers", "source"), {});
    }
    forms = {PlainForms().front().response};
    REQUIRE(RunUntil(loop, [this] {
      const auto got = Send("/safe/", 0, 1);
      return !host->reach().reachable() && got.front().status == 200;
    }));
  }
};

TEST_CASE("a damaged response to a forwarded request is a failure as well") {
  // Guards against the forwarding host that passes on what the other one
  // rejected.
  ForwardingSite site;
  CheckRoute(site, {PlainForms()[0], PlainForms()[1]}, "/safe/");
}

TEST_CASE(
    "interim responses without end to a forwarded request are a failure") {
  // Guards against two hosts that wait for the final response until the
  // caller's deadline.
  ForwardingSite site;
  std::string interim;
  for (int i = 0; i < 1000; ++i) {
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  site.forms = {interim};
  site.end = KeepOpen{};
  const auto got = site.Send("/safe/", 0, 1);
  CHECK(got.front().status == 502);
}

}  // namespace
}  // namespace filbertrack
