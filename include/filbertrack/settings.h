#pragma once

/// INI settings with declared keys. A file is checked whole before a process
/// starts: an unknown section or key, a wrong type or a value out of range is
/// an error that names the file, the section, the key, the value and what is
/// allowed.

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

Result<Address> ParseAddress(std::string_view text);

struct IntegerKey {
  int64_t default_value;
  int64_t min_value;
  int64_t max_value;
};
/// May have a fraction.
struct NumberKey {
  double default_value;
  double min_value;
  double max_value;
};
/// Written with a unit: 250ms, 4s, 1.5s, 10m.
struct DurationKey {
  Duration default_value;
  Duration min_value;
  Duration max_value;
};
struct TextKey {
  std::string default_value;
  bool required = false;
  std::vector<std::string> allowed;  ///< Empty: any text.
  size_t min_bytes = 0;
};
struct AddressKey {
  std::string default_value;  ///< Empty: the key is required.
};
/// Addresses separated by commas; may be empty.
struct AddressListKey {};

using KeyType = std::variant<IntegerKey,
                             NumberKey,
                             DurationKey,
                             TextKey,
                             AddressKey,
                             AddressListKey>;

/// One declared key.
struct SettingsKey {
  std::string section;
  std::string key;
  KeyType type;
  std::string meaning;
};

/// Values of one checked file. Reading a key that the schema does not declare
/// is a fault of the program and ends it.
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

/// The declared keys of one program.
class SettingsSchema {
 public:
  explicit SettingsSchema(std::vector<SettingsKey> rows)
      : m_rows(std::move(rows)) {}

  Result<Settings> ReadFile(const std::string& path) const;
  Result<Settings> ParseText(const std::string& text,
                             const std::string& origin) const;

  /// A reference of every key, one a line, for --help-settings.
  std::string Describe() const;

 private:
  std::vector<SettingsKey> m_rows;
};

}  // namespace filbertrack
