#pragma once

/// INI settings with a schema. The whole file is validated before a process
/// starts. An unknown section or key, a wrong type or a value out of range is
/// an error that names the file, the section, the key, the value and the
/// allowed values.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "filbertrack/base_address.h"
#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"

namespace filbertrack {

/// Parses "IPv4:port"; fails with kSettingsInvalid.
Result<Address> ParseAddress(std::string_view text);

/// The same for an address to connect to: neither port 0 nor an address that
/// names no single host. The unspecified one would reach this host itself.
Result<Address> ParseServerAddress(std::string_view text);

struct IntegerKey {
  int64_t default_value;
  int64_t min_value;
  int64_t max_value;
};
/// A number that may have a fraction.
struct NumberKey {
  double default_value;
  double min_value;
  double max_value;
};
/// A duration with a unit, for example 250ms, 4s, 1.5s or 10m.
struct DurationKey {
  Duration default_value;
  Duration min_value;
  Duration max_value;
};
struct TextKey {
  std::string default_value;
  bool required = false;
  std::vector<std::string> allowed;  ///< Any text if empty.
  size_t min_bytes = 0;
};
struct AddressKey {
  std::string default_value;  ///< The key is required if empty.
};
/// Comma-separated addresses; may be empty, which is the default.
struct AddressListKey {};

using KeyType = std::variant<IntegerKey,
                             NumberKey,
                             DurationKey,
                             TextKey,
                             AddressKey,
                             AddressListKey>;

/// A key that a program accepts.
struct SettingsKey {
  std::string section;
  std::string key;
  KeyType type;
  std::string meaning;
};

/// The values of a validated file. Reading a key that the schema does not
/// declare, or as another type, is a programming error and ends the process.
class Settings {
 public:
  using Value = std::
      variant<int64_t, double, Duration, std::string, std::vector<Address>>;

  int64_t Integer(std::string_view section, std::string_view key) const;
  double Number(std::string_view section, std::string_view key) const;
  Duration Time(std::string_view section, std::string_view key) const;
  const std::string& Text(std::string_view section, std::string_view key) const;
  const Address& At(std::string_view section, std::string_view key) const;
  const std::vector<Address>& Addresses(std::string_view section,
                                        std::string_view key) const;

  void Put(const std::string& section, const std::string& key, Value value);

  bool operator==(const Settings&) const = default;

 private:
  const Value& Find(std::string_view section, std::string_view key) const;

  std::map<std::string, Value, std::less<>> m_values;
};

/// The keys that a program accepts.
class SettingsSchema {
 public:
  explicit SettingsSchema(std::vector<SettingsKey> rows)
      : m_rows(std::move(rows)) {}

  /// Reads and validates a file; fails with kSettingsInvalid.
  Result<Settings> ReadFile(const std::string& path) const;
  /// Validates `text`; `origin` names it in errors.
  Result<Settings> ParseText(const std::string& text,
                             const std::string& origin) const;

  /// A reference of all keys, one per line, for --help-settings.
  std::string Describe() const;

 private:
  std::vector<SettingsKey> m_rows;
};

}  // namespace filbertrack
