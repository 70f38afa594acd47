#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "damaged_message.h"
#include "filbertrack/http_message.h"

/// Messages with one octet replaced, inserted or removed, against a reader of
/// RFC 9112 that sees all octets at once.

namespace filbertrack {
namespace {

/// What the parser makes of a message.
struct Parsed {
  bool is_complete = false;
  bool is_malformed = false;
  int status = 0;
  std::string body;
  /// Octets up to the end of the message.
  size_t size = 0;
};

constexpr size_t kMaxHeadBytes = 64 * 1024;

/// Parses a message that arrives in blocks of `block` octets and, if
/// `is_closed`, is followed by an orderly end of the connection.
Parsed Parse(HttpMessageKind kind,
             std::string_view bytes,
             size_t block,
             bool is_closed) {
  Parsed parsed;
  bool ends_with_connection = false;
  HttpMessageParser parser(kind, kMaxHeadBytes,
                           {[&](const HttpHead& head) {
                              parsed.status = head.status;
                              ends_with_connection = head.ends_with_connection;
                              return true;
                            },
                            [&](std::string_view part) { parsed.body += part; },
                            [&] {
                              parsed.is_complete =
                                  kind == HttpMessageKind::kRequest ||
                                  parsed.status >= kFirstFinalStatus;
                            }});
  while (parsed.size < bytes.size() && !parsed.is_complete) {
    // Part of a block is left after an interim response.
    std::string_view rest = bytes.substr(parsed.size, block);
    while (!rest.empty() && !parsed.is_complete) {
      const size_t taken = parser.Push(rest);
      parsed.size += taken;
      rest.remove_prefix(std::min(taken, rest.size()));
      if (parser.fault() != HttpMessageFault::kNone) {
        parsed.is_malformed = true;
        return parsed;
      }
    }
  }
  if (!parsed.is_complete && is_closed && ends_with_connection) {
    parser.PushEnd();
  }
  return parsed;
}

std::string WithLength(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string InOneChunk(const std::string& body) {
  std::ostringstream size;
  size << std::hex << body.size();
  return "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + body +
         "\r\n0\r\n\r\n";
}

std::vector<std::string> SoundResponses() {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7\r\nX-Runner-Seal: s\r\n";
  // Looks like chunks wherever a chunk could end too early.
  const std::string body = "0\r\n\r\n1\r\nab1\r\n\r\n00\r\n\r\n";
  return {
      head + WithLength(body),
      head + InOneChunk(body),
      head + "transfer-encoding:chunked \r\nKeep-Alive: timeout=4\r\n\r\n" +
          "5;a=b\r\nevent\r\n0a \r\n0123456789\r\n00\r\nX-More: 1\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + WithLength("body"),
      "HTTP/1.0 404 Not Found\r\n" + WithLength("body"),
      "HTTP/1.1 200\r\nConnection: close\r\n\r\nuntil the end"};
}

std::vector<std::string> SoundRequests() {
  const std::string head =
      "POST /safe/x?a=b HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 7\r\n";
  const std::string next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string body = "0\r\n\r\n" + next;
  return {head + WithLength(body) + next, head + InOneChunk(body) + next,
          head + "\r\n" + next};
}

const std::vector<size_t> kBlocks = {1, 7, kMaxHeadBytes};

TEST_CASE("a response with a damaged octet is a fault or what its bytes say") {
  // Guards against an answer whose end or body is not the server's: the parser
  // and the server would disagree about where it ends.
  size_t faults = 0;
  size_t complete = 0;
  for (const std::string& sound : SoundResponses()) {
    const ReadMessage whole = ReadResponse(sound, true);
    REQUIRE(whole.is_complete);
    for (const std::string& bytes : DamagedForms(sound)) {
      for (const bool is_closed : {false, true}) {
        const ReadMessage said = ReadResponse(bytes, is_closed);
        for (const size_t block : kBlocks) {
          CAPTURE(bytes);
          CAPTURE(block);
          const Parsed parsed =
              Parse(HttpMessageKind::kResponse, bytes, block, is_closed);
          if (said.is_malformed) {
            REQUIRE(parsed.is_malformed);
          }
          faults += parsed.is_malformed ? 1 : 0;
          if (!parsed.is_complete) {
            continue;
          }
          ++complete;
          REQUIRE(said.is_complete);
          REQUIRE(parsed.status == said.status);
          REQUIRE(parsed.body == said.body);
          REQUIRE(parsed.size == said.size);
          // A damaged name hides the length of the sound response.
          if (said.ends_with_connection && !whole.ends_with_connection &&
              said.status == whole.status) {
            REQUIRE(said.body == whole.body);
          }
        }
      }
    }
  }
  CHECK(faults > 0);
  CHECK(complete > 0);
}

TEST_CASE("a request with a damaged octet is a fault or what its bytes say") {
  // Guards against a request that the next host finds in the body of another.
  size_t complete = 0;
  for (const std::string& sound : SoundRequests()) {
    REQUIRE(ReadRequest(sound).is_complete);
    for (const std::string& bytes : DamagedForms(sound)) {
      const ReadMessage said = ReadRequest(bytes);
      for (const size_t block : kBlocks) {
        CAPTURE(bytes);
        CAPTURE(block);
        const Parsed parsed =
            Parse(HttpMessageKind::kRequest, bytes, block, false);
        if (said.is_malformed) {
          REQUIRE(parsed.is_malformed);
        }
        if (parsed.is_complete) {
          ++complete;
          REQUIRE(said.is_complete);
          REQUIRE(parsed.body == said.body);
          REQUIRE(parsed.size == said.size);
        }
      }
    }
  }
  CHECK(complete > 0);
}

TEST_CASE("sound messages are read as sent") {
  for (const std::string& sound : SoundResponses()) {
    const ReadMessage said = ReadResponse(sound, true);
    for (const size_t block : kBlocks) {
      const Parsed parsed =
          Parse(HttpMessageKind::kResponse, sound, block, true);
      CHECK(parsed.is_complete);
      CHECK(parsed.body == said.body);
    }
  }
  for (const std::string& sound : SoundRequests()) {
    for (const size_t block : kBlocks) {
      const Parsed parsed =
          Parse(HttpMessageKind::kRequest, sound, block, false);
      CHECK(parsed.is_complete);
      CHECK(parsed.body == ReadRequest(sound).body);
    }
  }
}

/// Checks that a head with the lines `fields`, and a body in any framing, is a
/// fault in both directions.
void CheckRefused(const std::vector<std::string>& fields) {
  for (const std::string& field : fields) {
    CAPTURE(field);
    const std::string rest =
        "X-A: 1\r\n" + field + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    CHECK(Parse(HttpMessageKind::kResponse, "HTTP/1.1 200 OK\r\n" + rest,
                kMaxHeadBytes, true)
              .is_malformed);
    CHECK(Parse(HttpMessageKind::kRequest, "POST /x HTTP/1.1\r\n" + rest,
                kMaxHeadBytes, false)
              .is_malformed);
  }
}

TEST_CASE("a transfer coding other than chunked is a fault") {
  // Guards against a body that is read to the end of the connection because its
  // coding is unknown.
  CheckRefused({"Transfer-Encoding: chunkd", "Transfer-Encoding: xchunked",
                "Transfer-Encoding: gzip", "Transfer-Encoding: identity",
                "Transfer-Encoding: \"chunked\"",
                "Transfer-Encoding:", "Transfer-Encoding: chunked, gzip",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: chunked;q=1",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 4"});
  CHECK(Parse(HttpMessageKind::kResponse,
              "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              kMaxHeadBytes, true)
            .is_malformed);
}

TEST_CASE("a length that is not a number is a fault") {
  CheckRefused({"Content-Length:", "Content-Length: ", "Content-Length: four",
                "Content-Length: +4", "Content-Length: -4",
                "Content-Length: 0x4", "Content-Length: 4 4",
                "Content-Length: \"4\"", "Content-Length: 4, 4",
                "Content-Length: 4\r\nContent-Length: 4", "Content-Length: 4.0",
                "Content-Length: 18446744073709551620", "Content-Length: \v4"});
}

TEST_CASE("a line of a head that is no field is a fault") {
  // Guards against a head that ends at another line than its sender meant.
  CheckRefused({"X-Bad", ": 4", "HTTP/1.1 200 OK", " X-Bad: 1",
                "\tContent-Length: 4", "\rContent-Length: 4",
                "\nContent-Length: 4", "X-Bad: 1\nContent-Length: 4",
                "X-Bad: 1\rContent-Length: 4",
                "Transfer-Encoding: \x01"
                "chunked",
                "X-Bad: a\x01"
                "b",
                "X-Bad: a\x7f"
                "b"});
}

TEST_CASE("a name of a field that is no token is a fault") {
  // Guards against a field that the next recipient reads as another one.
  CheckRefused({"X-Bad : 1", "X-Bad\t: 1", "Content-Length : 4",
                "Content-Length\t: 4", "Transfer-Encoding : chunked",
                "X Bad: 1", "X[Bad]: 1",
                "X-B\x01"
                "d: 1",
                "X-B\x7f"
                "d: 1",
                "X-B\x80"
                "d: 1"});
}

TEST_CASE("a chunk that does not end where its size says is a fault") {
  // Guards against a body that includes the framing of its chunks.
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& chunks : std::vector<std::string>{
           "4\r\nbodyXX0\r\n\r\n", "4\r\nbody\rX0\r\n\r\n",
           "4\r\nbodyX\n0\r\n\r\n", "4\rXbody\r\n0\r\n\r\n",
           "4\nbody\r\n0\r\n\r\n", "8\r\nbody\r\n2\r\n0\r\n\r\n",
           "3\r\nbody\r\n0\r\n\r\n", "\r\nbody\r\n0\r\n\r\n",
           "\x14\r\nbody\r\n0\r\n\r\n", "x\r\nbody\r\n0\r\n\r\n",
           "4 x\r\nbody\r\n0\r\n\r\n", "-4\r\nbody\r\n0\r\n\r\n",
           "0x4\r\nbody\r\n0\r\n\r\n", "10000000000000004\r\nbody\r\n0\r\n\r\n",
           "4\r\nbody\r\n0\r\nX-Bad\r\n\r\n", "4\r\nbody\r\n0\r\n\rX"}) {
    CAPTURE(chunks);
    CHECK(Parse(HttpMessageKind::kResponse, head + chunks, kMaxHeadBytes, true)
              .is_malformed);
  }
}

TEST_CASE("a response that has no body ends with its head") {
  // Guards against a wait for the body whose length such a response may state.
  for (const char* status : {"204 No Content", "304 Not Modified"}) {
    CAPTURE(std::string(status));
    const std::string head =
        "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 4\r\n\r\n";
    const Parsed parsed =
        Parse(HttpMessageKind::kResponse, head, kMaxHeadBytes, false);
    CHECK(parsed.is_complete);
    CHECK(parsed.size == head.size());
  }
}

TEST_CASE("a damaged name that hides the length of a response is a fault") {
  // Guards against chunks that are passed on as the body, to the end of the
  // connection.
  const auto parse = [](const std::string& field, const std::string& more) {
    return Parse(HttpMessageKind::kResponse,
                 "HTTP/1.1 200 OK\r\n" + field + "\r\n" + more +
                     "\r\n4\r\nbody\r\n0\r\n\r\n",
                 kMaxHeadBytes, true);
  };
  for (const char* field :
       {"Transfer-Encodng: chunked", "Transfer-Enccoding: chunked",
        "Transfer_Encoding: chunked", "Tranfser-Encoding: chunked",
        "Transfer:-Encoding: chunked", "Transfer-Encodingx: chunked",
        "ransfer-Encoding: chunked", "xTransfer-Encoding: chunked",
        "TRANSFER-ENCODIN: chunked", "Content-Lenght: 4", "Content-Length4: 4",
        "Content:Length: 4"}) {
    CAPTURE(std::string(field));
    CHECK(parse(field, "").is_malformed);
  }
  for (const char* field :
       {"Transfer-Encoding-Note: chunked", "Content-Lengths-X: 4",
        "Content-Type: text/plain", "TE: trailers", "X-Content-Length: 4",
        "C: 4", "Content-Length-X: a:b"}) {
    CAPTURE(std::string(field));
    CHECK(parse(field, "").is_complete);
  }
  // The response states its length all the same.
  CHECK(
      parse("Transfer_Encoding: chunked", "Content-Length: 4\r\n").is_complete);
}

TEST_CASE("a status line of another form is a fault") {
  // Guards against a status that no client knows, and against a wait for the
  // final response after an interim status that is none.
  for (const char* line : {"HTTP/1.1 000 OK",  "HTTP/1.1 0 OK",
                           "HTTP/1.1 1 OK",    "HTTP/1.1 20 OK",
                           "HTTP/1.1 99 OK",   "HTTP/1.1 099 OK",
                           "HTTP/1.1 0200 OK", "HTTP/1.1 00000200 OK",
                           "HTTP/1.1 2000 OK", "HTTP/1.1 600 OK",
                           "HTTP/1.1 999 OK",  "HTTP/1.1 -200 OK",
                           "HTTP/1.1 +200 OK", "HTTP/1.1 two OK",
                           "HTTP/1.1  200 OK", "HTTP/1.1 OK",
                           "HTTP/1.1",         "HTTP/1.1 2 00 OK",
                           "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK",
                           "HTTP/0.9 200 OK",  "HTTP/2.0 200 OK",
                           "HTTP/9.9 200 OK",  "HTTP/1 200 OK",
                           "HTTP/01.1 200 OK", "HTTP/1.10 200 OK",
                           "http/1.1 200 OK",  "ICY 200 OK",
                           " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK"}) {
    CAPTURE(std::string(line));
    CHECK(Parse(HttpMessageKind::kResponse,
                std::string(line) + "\r\nContent-Length: 0\r\n\r\n",
                kMaxHeadBytes, true)
              .is_malformed);
  }
  for (const char* line : {"HTTP/1.1 100", "HTTP/1.1 200 ", "HTTP/1.0 599 x y",
                           "HTTP/1.1 404 \xc3\xa9\t"}) {
    CAPTURE(std::string(line));
    CHECK_FALSE(Parse(HttpMessageKind::kResponse,
                      std::string(line) + "\r\nContent-Length: 0\r\n\r\n",
                      kMaxHeadBytes, true)
                    .is_malformed);
  }
}

TEST_CASE("a request of another version is a fault") {
  for (const char* version : {"", " HTTP/0.9", " HTTP/2.0", " HTTP/9.9"}) {
    CAPTURE(std::string(version));
    CHECK(Parse(HttpMessageKind::kRequest,
                "GET /x" + std::string(version) + "\r\nHost: h\r\n\r\n",
                kMaxHeadBytes, false)
              .is_malformed);
  }
}

}  // namespace
}  // namespace filbertrack
