#include "filbertrack/request_intake.h"

#include <charconv>

#include "filbertrack/base_hash.h"
#include "filbertrack/base_json.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kBearer = "Bearer ";
constexpr size_t kPrefixHashDigits = 16;

tl::unexpected<Error> BadRequest(std::string message) {
  return Fail(ResultCode::kBadRequest, std::move(message));
}

Result<const Workspace*> ReadWorkspace(const RawRequest& raw,
                                       const Resources& resources) {
  if (!raw.authorization.starts_with(kBearer)) {
    return Fail(ResultCode::kUnauthorized,
                "The Authorization header must contain a Bearer key.");
  }
  const std::string hash = Sha256Hex(raw.authorization.substr(kBearer.size()));
  const Workspace* workspace = FindWorkspaceByKey(resources, hash);
  if (workspace == nullptr) {
    return Fail(ResultCode::kUnauthorized, "The key names no workspace.");
  }
  return workspace;
}

Result<TimePoint> ReadDeadline(const RawRequest& raw,
                               const IntakePolicy& policy,
                               TimePoint now) {
  if (raw.deadline_ms.empty()) {
    return now + policy.default_deadline;
  }
  int64_t count = 0;
  const char* end = raw.deadline_ms.data() + raw.deadline_ms.size();
  const auto [stop, error] =
      std::from_chars(raw.deadline_ms.data(), end, count);
  if (error != std::errc() || stop != end) {
    return BadRequest("Invalid value of the Filbert-Deadline-Ms header: '" +
                      std::string(raw.deadline_ms) +
                      "'; expected an integer number of milliseconds.");
  }
  if (count <= 0) {
    return Fail(ResultCode::kDeadlinePassed,
                "The deadline had passed when the request arrived.");
  }
  const int64_t max_ms = ToMilliseconds(policy.max_deadline);
  return now + Milliseconds(std::min(count, max_ms));
}

Result<bool> ReadIdempotent(const RawRequest& raw, bool by_default) {
  if (raw.idempotent.empty()) {
    return by_default;
  }
  if (raw.idempotent != "true" && raw.idempotent != "false") {
    return BadRequest("Invalid value of the Filbert-Idempotent header: '" +
                      std::string(raw.idempotent) +
                      "'; expected true or false.");
  }
  return raw.idempotent == "true";
}

std::string PrefixOf(const Json& messages) {
  const Json& content =
      messages[0].contains("content") ? messages[0]["content"] : messages[0];
  return Sha256Hex(content.dump()).substr(0, kPrefixHashDigits);
}

/// Checks the fields that this host uses; the engine validates the rest.
Result<bool> ReadModelBody(const RawRequest& raw,
                           const Resources& resources,
                           CallerRequest& request) {
  Result<Json> body = ParseJson(raw.body);
  if (!body) {
    return BadRequest("The body cannot be parsed: " + body.error().message +
                      ".");
  }
  request.body = std::move(*body);
  if (!request.body.is_object()) {
    return BadRequest("The body must be a JSON object.");
  }
  const auto model = request.body.find("model");
  if (model == request.body.end() || !model->is_string()) {
    return BadRequest("The field 'model' must be a string.");
  }
  const auto messages = request.body.find("messages");
  if (messages == request.body.end() || !messages->is_array() ||
      messages->empty() || !(*messages)[0].is_object()) {
    return BadRequest(
        "The field 'messages' must be a non-empty array that starts with an "
        "object.");
  }
  const auto stream = request.body.find("stream");
  if (stream != request.body.end() && !stream->is_boolean()) {
    return BadRequest("The field 'stream' must be true or false.");
  }
  request.streaming = stream != request.body.end() && stream->get<bool>();
  const ModelTarget target =
      FindModel(resources, model->get_ref<const std::string&>());
  if (target.service == nullptr ||
      target.service->type != ServiceType::kModel) {
    return Fail(
        ResultCode::kUnknownModel,
        "The model '" + model->get<std::string>() + "' is not declared.");
  }
  request.service = target.service->name;
  request.service_type = ServiceType::kModel;
  request.adapter = target.adapter;
  request.prefix = PrefixOf(*messages);
  // Only this host may set `resume_from`; a caller that set it would receive a
  // response without its beginning.
  request.body.erase("resume_from");
  return true;
}

Result<bool> ReadPlainTarget(const RawRequest& raw,
                             const Resources& resources,
                             CallerRequest& request) {
  std::string_view rest = raw.target.substr(kServicePathPrefix.size());
  const size_t end = std::min(rest.find_first_of("/?"), rest.size());
  const auto service = resources.services.find(rest.substr(0, end));
  if (service == resources.services.end() ||
      service->second.type != ServiceType::kPlain) {
    return Fail(ResultCode::kUnknownModel,
                "The plain service '" + std::string(rest.substr(0, end)) +
                    "' is not declared.");
  }
  request.service = service->first;
  request.service_type = ServiceType::kPlain;
  request.service_target = rest.substr(end);
  if (!request.service_target.starts_with('/')) {
    request.service_target.insert(0, "/");
  }
  return true;
}

}  // namespace

Result<CallerRequest> ReadCallerRequest(const RawRequest& raw,
                                        const Resources& resources,
                                        const IntakePolicy& policy,
                                        TimePoint now) {
  const Result<const Workspace*> workspace = ReadWorkspace(raw, resources);
  if (!workspace) {
    return tl::unexpected<Error>(workspace.error());
  }
  const Result<TimePoint> deadline = ReadDeadline(raw, policy, now);
  if (!deadline) {
    return tl::unexpected<Error>(deadline.error());
  }
  CallerRequest request;
  request.workspace = (*workspace)->name;
  request.priority = (*workspace)->priority;
  request.arrived = now;
  request.deadline = *deadline;
  const bool is_chat = raw.is_post && raw.target == kChatPath;
  if (!is_chat && !raw.target.starts_with(kServicePathPrefix)) {
    return Fail(ResultCode::kNotFound,
                "No resource exists at '" + std::string(raw.target) + "'.");
  }
  const Result<bool> target = is_chat
                                  ? ReadModelBody(raw, resources, request)
                                  : ReadPlainTarget(raw, resources, request);
  if (!target) {
    return tl::unexpected<Error>(target.error());
  }
  const Result<bool> idempotent = ReadIdempotent(raw, is_chat || raw.is_read);
  if (!idempotent) {
    return tl::unexpected<Error>(idempotent.error());
  }
  request.idempotent = *idempotent;
  if (raw.idempotency_key.size() > policy.max_key_bytes) {
    return BadRequest("The Idempotency-Key header exceeds the maximum of " +
                      std::to_string(policy.max_key_bytes) + " bytes.");
  }
  request.idempotency_key = raw.idempotency_key;
  if (!request.idempotency_key.empty()) {
    // A caller that sends an idempotency key expects a single run, whatever the
    // type of request.
    request.idempotent = false;
  }
  return request;
}

std::string BodyForAttempt(const CallerRequest& request, uint64_t resume_from) {
  if (resume_from == 0) {
    return request.body.dump(-1, ' ', false, Json::error_handler_t::replace);
  }
  Json body = request.body;
  body["resume_from"] = resume_from;
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string RefusalBody(ResultCode code,
                        Outcome outcome,
                        std::string_view request_id) {
  const ResultCodeRow& row = ResultCodeInfo(code);
  const Json body = {{"error",
                      {{"code", static_cast<int>(code)},
                       {"name", row.name},
                       {"message", row.meaning},
                       {"outcome", OutcomeName(outcome)},
                       {"request_id", request_id}}}};
  return body.dump();
}

}  // namespace filbertrack
