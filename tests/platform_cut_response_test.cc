#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "platform_site.h"
#include "platform_store_fixture.h"
#include "raw_server.h"

/// Servers whose response ends at any byte. No part of it may look complete.

namespace filbertrack {
namespace {

constexpr std::string_view kBody = "seventeen letters";

/// A complete response, with `@` for the id of the request.
struct Form {
  std::string name;
  std::string response;
  /// The response is complete with its connection, so that a cut one may look
  /// complete in the body. The head may not.
  bool ends_with_connection = false;
};

std::string Head(const std::string& version, const std::string& more) {
  return version + " 200 OK\r\nX-Attempt-Id: @\r\nX-Runner-Seal: s\r\n" + more +
         "\r\n";
}

std::vector<Form> Forms() {
  const std::string body(kBody);
  const std::string length = "Content-Length: 17\r\n";
  const std::string chunks = "8\r\nseventee\r\n9\r\nn letters\r\n0\r\n\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  return {{"a length", Head("HTTP/1.1", length) + body},
          {"HTTP/1.0", Head("HTTP/1.0", length) + body},
          {"chunks", Head("HTTP/1.1", chunked) + chunks},
          {"trailers", Head("HTTP/1.1", chunked) +
                           chunks.substr(0, chunks.size() - 2) +
                           "X-More: 1\r\n\r\n"},
          {"an interim response first",
           "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
               Head("HTTP/1.1", length) + body},
          {"until the connection ends", Head("HTTP/1.1", "") + body, true}};
}

std::string ForRequest(std::string response, std::string_view request) {
  const size_t at = response.find('@');
  if (at != std::string::npos) {
    response.replace(at, 1, RawHeader(request, "X-Attempt-Id"));
  }
  return response;
}

std::vector<ConnectionEnd> Ends() {
  return {CloseOrderly{}, ResetConnection{}};
}

/// An id of the length that all requests of this test have, which tells how
/// many bytes of the response are sent.
std::string IdOfSize(size_t size) {
  return std::to_string(1000 + size);
}

size_t SizeOfId(const std::string& id) {
  return std::stoul(id) - 1000;
}

/// An entry host in front of two servers that cut each response.
struct CutSite : Site {
  CutSite() : Site(0) {
    Json config = MakeConfig(2);
    config["routes"].push_back(MakeRoute("raw", "/raw/", "streaming", "plain"));
    store.Put("config", "main", config);
    for (const auto& each : plain) {
      each->Die();
    }
    for (const char* id : {"c1", "c2"}) {
      servers.push_back(std::make_unique<RawServer>(
          loop, [this](std::string_view request) { return Answer(request); }));
      servers.back()->Register(store, id, "plain", kSlots);
    }
    REQUIRE(RunUntil(loop, [this] {
      return host->IsReady() && host->catalog()->version() == 2 &&
             CountTargets() == servers.size();
    }));
  }

  RawReply Answer(std::string_view request) {
    if (!request.starts_with("POST ")) {
      return {"HTTP/1.1 200 OK\r\nX-Runner-Id: c\r\nContent-Length: 0\r\n\r\n",
              KeepOpen{}};
    }
    const std::string whole = ForRequest(response, request);
    const size_t size = SizeOfId(RawHeader(request, "X-Attempt-Id"));
    if (size >= whole.size()) {
      return {whole, KeepOpen{}};
    }
    return {whole.substr(0, size), end};
  }

  /// Sends a request for each size from `first` on below `last`, all at once.
  std::vector<CallerResponse> Send(const std::string& path,
                                   size_t first,
                                   size_t last) {
    std::vector<CallerResponse> got(last - first);
    std::vector<std::unique_ptr<HttpCall>> calls;
    for (size_t i = 0; i < got.size(); ++i) {
      calls.push_back(
          SendRequest(*this, client, path, IdOfSize(first + i), got[i]));
    }
    CHECK(RunUntil(loop, [&got] {
      return std::all_of(got.begin(), got.end(),
                         [](const auto& each) { return each.ended; });
    }));
    return got;
  }

  static constexpr int kSlots = 1000;

  std::string response;
  ConnectionEnd end = CloseOrderly{};
  std::vector<std::unique_ptr<RawServer>> servers;
  HttpClient client{loop, 4};
};

bool LooksComplete(const CallerResponse& response) {
  return !response.failed && response.status >= 200 && response.status < 300;
}

/// Size of the response up to its body.
size_t HeadSize(const std::string& response) {
  constexpr std::string_view kBlank = "\r\n\r\n";
  return response.find(kBlank, response.find(" 200 OK")) + kBlank.size();
}

/// Checks all prefixes of the site's response on a route.
void CheckPrefixes(CutSite& site, const Form& form, const std::string& path) {
  site.response = form.response;
  const std::string example =
      ForRequest(form.response, "\r\nX-Attempt-Id: " + IdOfSize(0) + "\r\n");
  for (const ConnectionEnd& end : Ends()) {
    site.end = end;
    const bool is_orderly = std::holds_alternative<CloseOrderly>(end);
    const auto got = site.Send(path, 0, example.size() + 1);
    int complete = 0;
    for (size_t size = 0; size < example.size(); ++size) {
      CAPTURE(size);
      const CallerResponse& response = got[size];
      const bool may_end =
          form.ends_with_connection && is_orderly && size >= HeadSize(example);
      if (!may_end) {
        CHECK_FALSE(LooksComplete(response));
      }
      // A failure of the entry host's own bears no seal of a server.
      if (response.status >= 300) {
        CHECK(FindHeader(response.headers, "X-Runner-Seal").empty());
      }
      complete += LooksComplete(response) ? 1 : 0;
    }
    // The whole response is passed on.
    if (!form.ends_with_connection) {
      CHECK(LooksComplete(got.back()));
      CHECK(got.back().body.size() > 0);
      CHECK(complete == 0);
    }
  }
}

TEST_CASE("a response that ends at any byte does not look complete") {
  // Guards against a success with an empty or short body, framed as whole, when
  // a server stops in the middle of its head.
  for (const char* path : {"/safe/x", "/once/x"}) {
    for (const Form& form : Forms()) {
      INFO(path, " ", form.name);
      CutSite site;
      CheckPrefixes(site, form, path);
    }
  }
}

TEST_CASE("a stream that ends at any byte does not look complete") {
  const std::string type = "Content-Type: text/event-stream\r\n";
  const std::string events = ExpectedStream(2);
  for (const Form& form : std::vector<Form>{
           {"a length",
            Head("HTTP/1.1", type + "Content-Length: " +
                                 std::to_string(events.size()) + "\r\n") +
                events},
           {"chunks",
            Head("HTTP/1.1", type + "Transfer-Encoding: chunked\r\n") +
                "28\r\n" + events + "\r\n0\r\n\r\n"}}) {
    INFO(form.name);
    CutSite site;
    CheckPrefixes(site, form, "/raw/x");
  }
}

TEST_CASE("a response that ends early on a reused connection is not complete") {
  // Guards against the head of the connection's last response being taken for
  // that of the next one.
  for (const Form& form : Forms()) {
    INFO(form.name);
    CutSite site;
    site.response = form.response;
    if (form.ends_with_connection) {
      continue;
    }
    for (size_t size = 0; size < 60; size += 7) {
      const auto whole = site.Send("/safe/x", 999, 1000);
      CHECK(LooksComplete(whole.front()));
      const auto cut = site.Send("/safe/x", size, size + 1);
      CHECK_FALSE(LooksComplete(cut.front()));
    }
  }
}

TEST_CASE("a report or an order's answer that ends early is no answer") {
  // Guards against a server that counts as idle, or an order that counts as
  // begun, by a part of an answer.
  EventLoop loop;
  const std::string report = R"({"running":9,"queued":8,"busy":true})";
  const std::string ok =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: " +
      std::to_string(report.size()) + "\r\n\r\n" + report;
  const std::string accepted =
      "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}";
  size_t size = 0;
  ConnectionEnd end = CloseOrderly{};
  RawServer server(loop, [&](std::string_view request) -> RawReply {
    const std::string& whole = request.starts_with("GET ") ? ok : accepted;
    return {whole.substr(0, size), end};
  });
  platform::PlatformEngineClient engines(loop, "");
  BackendServer host;
  host.id = "i";
  host.address = server.address();
  for (const ConnectionEnd& each : Ends()) {
    end = each;
    for (size = 0; size < ok.size(); ++size) {
      CAPTURE(size);
      std::optional<ProbeAnswer> answer;
      engines.Probe(host, Seconds(2),
                    [&answer](const ProbeAnswer& probe) { answer = probe; });
      std::optional<OrderResult> result;
      if (size < accepted.size()) {
        engines.Order(host, {}, [&result](OrderResult got) { result = got; });
      } else {
        result = OrderResult::kUnknown;
      }
      REQUIRE(RunUntil(loop, [&] { return answer && result; }));
      CHECK_FALSE(answer->answered);
      CHECK(*result == OrderResult::kUnknown);
    }
  }
}

TEST_CASE("a record of the store whose response ends early is not read") {
  // Guards against a lease or a record of which a part is taken for the whole,
  // or that counts as absent.
  EventLoop loop;
  const std::string object =
      R"({"metadata":{"name":"n","rev":7},"spec":{"value":"x"},"status":{}})";
  const std::string whole =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(object.size()) + "\r\n\r\n" + object;
  const std::string absent =
      "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}";
  std::string response;
  size_t size = 0;
  ConnectionEnd end = CloseOrderly{};
  RawServer server(loop, [&](std::string_view) -> RawReply {
    return {response.substr(0, size), end};
  });
  RecordingListener listener;
  platform::PlatformStore client(loop, server.address(), {}, listener, 1);
  for (const std::string& text : {whole, absent}) {
    response = text;
    for (const ConnectionEnd& each : Ends()) {
      end = each;
      for (size = 0; size < text.size(); ++size) {
        CAPTURE(size);
        std::optional<StoreStatus> status;
        client.Read(
            "n", [&status](const StoreResponse& got) { status = got.status; });
        REQUIRE(RunUntil(loop, [&status] { return status.has_value(); }));
        CHECK(*status == StoreStatus::kUnavailable);
      }
    }
  }
}

}  // namespace
}  // namespace filbertrack
