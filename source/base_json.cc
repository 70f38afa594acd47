#include "filbertrack/base_json.h"

#include <string>
#include <utility>
#include <vector>

namespace filbertrack {

namespace {

using Json = nlohmann::json;

/// Builds a value from parser events and stops the parser at the limits.
class BoundedBuilder : public nlohmann::json_sax<Json> {
 public:
  explicit BoundedBuilder(const JsonLimits& limits) : m_limits(limits) {}

  bool null() override { return Add(nullptr) != nullptr; }
  bool boolean(bool value) override { return Add(value) != nullptr; }
  bool number_integer(number_integer_t value) override {
    return Add(value) != nullptr;
  }
  bool number_unsigned(number_unsigned_t value) override {
    return Add(value) != nullptr;
  }
  bool number_float(number_float_t value, const string_t&) override {
    return Add(value) != nullptr;
  }
  bool string(string_t& value) override {
    return Add(std::move(value)) != nullptr;
  }
  bool binary(binary_t& value) override {
    return Add(Json::binary(std::move(value))) != nullptr;
  }
  bool start_object(size_t) override { return Open(Json::object()); }
  bool start_array(size_t) override { return Open(Json::array()); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool key(string_t& name) override {
    m_member = &(*m_open.back())[std::move(name)];
    return true;
  }
  bool parse_error(size_t position,
                   const std::string&,
                   const Json::exception&) override {
    m_error = {ResultCode::kBadRequest,
               "not valid JSON at byte " + std::to_string(position)};
    return false;
  }

  Json& value() { return m_value; }
  const Error& error() const { return m_error; }

 private:
  /// Returns the added value, or null if there are too many.
  Json* Add(Json value) {
    if (++m_count > m_limits.max_values) {
      m_error = {
          ResultCode::kResourceInvalid,
          "more than " + std::to_string(m_limits.max_values) + " values"};
      return nullptr;
    }
    if (m_open.empty()) {
      m_value = std::move(value);
      return &m_value;
    }
    if (m_open.back()->is_array()) {
      m_open.back()->push_back(std::move(value));
      return &m_open.back()->back();
    }
    *m_member = std::move(value);
    return m_member;
  }

  bool Open(Json container) {
    if (m_open.size() >= m_limits.max_depth) {
      m_error = {ResultCode::kResourceInvalid,
                 "nested more than " + std::to_string(m_limits.max_depth) +
                     " levels deep"};
      return false;
    }
    Json* added = Add(std::move(container));
    if (added == nullptr) {
      return false;
    }
    m_open.push_back(added);
    return true;
  }

  bool Close() {
    m_open.pop_back();
    return true;
  }

  const JsonLimits& m_limits;
  Json m_value;
  /// Containers that are not complete, the outermost first.
  std::vector<Json*> m_open;
  /// Member of the innermost object that gets the next value.
  Json* m_member = nullptr;
  size_t m_count = 0;
  Error m_error;
};

}  // namespace

Result<Json> ParseJson(std::string_view text, const JsonLimits& limits) {
  BoundedBuilder builder(limits);
  if (!Json::sax_parse(text.begin(), text.end(), &builder)) {
    return Fail(builder.error());
  }
  return std::move(builder.value());
}

}  // namespace filbertrack
