#pragma once

/// Builds configuration objects in the format of the platform's store.

#include <string>

#include <nlohmann/json.hpp>

namespace filbertrack {

using Json = nlohmann::json;

inline Json MakeRoute(const std::string& name,
                      const std::string& prefix,
                      const std::string& kind,
                      const std::string& service) {
  return {{"name", name},
          {"hostname", "h.example"},
          {"pathPrefix", prefix},
          {"kind", kind},
          {"timeoutMs", 8000},
          {"targetLatencyMs", 400},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", kind == "unsafe" ? 1 : 2},
          {"public", false},
          {"resumable", kind == "streaming"},
          {"gapTargetMs", 300}};
}

inline Json MakeConfig(uint64_t version) {
  return {{"version", version},
          {"routes",
           {MakeRoute("stream", "/s/", "streaming", "llm"),
            MakeRoute("safe", "/safe/", "safe", "plain"),
            MakeRoute("once", "/once/", "unsafe", "plain")}},
          {"services",
           {{{"name", "llm"},
             {"maxConnections", 100},
             {"engine",
              {{"slots", 4},
               {"step_ms", 1},
               {"read_per_s", 100000},
               {"chunk", 2048},
               {"loadsPerS", 5},
               {"loads_at_once", 7},
               {"models",
                {{{"name", "m"},
                  {"size", 2},
                  {"share", 1},
                  {"loadS", 1},
                  {"warmupS", 0.1}}}}}}},
            {{"name", "plain"}, {"maxConnections", 100}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 100000},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants", {{{"name", "w"}, {"apiKeys", {"key"}}}}}};
}

}  // namespace filbertrack
