#include "filbertrack/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace filbertrack {

namespace {

struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
};

struct DurationUnit {
  std::string_view suffix;
  Duration size;
};

/// First address of the ranges for multicast and future use.
constexpr in_addr_t kFirstMulticast = 0xE0000000;

constexpr auto kDurationUnits = std::to_array<DurationUnit>({
    {"us", Duration(1)},
    {"ms", Milliseconds(1)},
    {"s", Seconds(1)},
    {"m", Seconds(60)},
    {"h", Seconds(3600)},
});

/// Parses INI text with Boost.PropertyTree. inih is not suitable: it splits
/// lines at 200 bytes, which breaks a list of twelve addresses.
Result<std::vector<IniEntry>> ReadIni(const std::string& text,
                                      const std::string& origin) {
  boost::property_tree::ptree tree;
  std::istringstream stream(text);
  try {
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return Fail(ResultCode::kSettingsInvalid,
                "Line " + std::to_string(error.line()) + " of '" + origin +
                    "' is not valid INI: " + error.message() + ".");
  }
  std::vector<IniEntry> entries;
  for (const auto& [section, keys] : tree) {
    if (keys.empty()) {
      entries.push_back({"", section, keys.data()});
    }
    for (const auto& [key, value] : keys) {
      entries.push_back({section, key, value.data()});
    }
  }
  return entries;
}

bool ParseInteger(std::string_view text, int64_t* value) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *value);
  return error == std::errc() && stop == end && !text.empty();
}

bool ParseNumber(std::string_view text, double* value) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *value);
  return error == std::errc() && stop == end && !text.empty();
}

bool ParseDuration(std::string_view text, Duration* value) {
  const size_t digits = text.find_first_not_of("0123456789.");
  double count = 0;
  // Below 1e9, a count of hours still fits into int64_t microseconds.
  if (digits == std::string_view::npos ||
      !ParseNumber(text.substr(0, digits), &count) || count >= 1e9) {
    return false;
  }
  for (const DurationUnit& unit : kDurationUnits) {
    if (unit.suffix == text.substr(digits)) {
      *value = Duration(
          std::llround(count * static_cast<double>(unit.size.count())));
      return true;
    }
  }
  return false;
}

std::string FormatDuration(Duration value) {
  if (value % Seconds(1) == Duration(0)) {
    return std::to_string(value / Seconds(1)) + "s";
  }
  return std::to_string(ToMilliseconds(value)) + "ms";
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) {
    const size_t first = part.find_first_not_of(" \t");
    if (first == std::string::npos) {
      continue;
    }
    parts.push_back(
        part.substr(first, part.find_last_not_of(" \t") - first + 1));
  }
  return parts;
}

std::string FormatNumber(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

/// Describes the values that a key accepts, for errors and --help-settings.
struct AllowedText {
  std::string operator()(const IntegerKey& type) const {
    return "an integer from " + std::to_string(type.min_value) + " to " +
           std::to_string(type.max_value);
  }
  std::string operator()(const NumberKey& type) const {
    return "a number from " + FormatNumber(type.min_value) + " to " +
           FormatNumber(type.max_value);
  }
  std::string operator()(const DurationKey& type) const {
    return "a duration with a unit (us, ms, s, m, h) from " +
           FormatDuration(type.min_value) + " to " +
           FormatDuration(type.max_value);
  }
  std::string operator()(const TextKey& type) const {
    if (type.min_bytes > 0) {
      return "a text of at least " + std::to_string(type.min_bytes) + " bytes";
    }
    if (type.allowed.empty()) {
      return "a text";
    }
    std::string text = "one of";
    for (const std::string& choice : type.allowed) {
      text += " " + choice;
    }
    return text;
  }
  std::string operator()(const AddressKey&) const {
    return "an IP address with a port, such as 127.0.0.1:8080";
  }
  std::string operator()(const AddressListKey&) const {
    return "IP addresses with ports, separated by commas";
  }
};

/// Converts text to a value of the key's type. Returns false if the text is
/// malformed or the value is not allowed.
struct ValueReader {
  const std::string& text;
  Settings::Value* value;

  bool operator()(const IntegerKey& type) const {
    int64_t number = 0;
    if (!ParseInteger(text, &number) || number < type.min_value ||
        number > type.max_value) {
      return false;
    }
    *value = number;
    return true;
  }
  bool operator()(const NumberKey& type) const {
    double number = 0;
    if (!ParseNumber(text, &number) || !(number >= type.min_value) ||
        !(number <= type.max_value)) {
      return false;
    }
    *value = number;
    return true;
  }
  bool operator()(const DurationKey& type) const {
    Duration duration{};
    if (!ParseDuration(text, &duration) || duration < type.min_value ||
        duration > type.max_value) {
      return false;
    }
    *value = duration;
    return true;
  }
  bool operator()(const TextKey& type) const {
    *value = text;
    if (type.allowed.empty()) {
      return (!type.required || !text.empty()) && text.size() >= type.min_bytes;
    }
    return std::find(type.allowed.begin(), type.allowed.end(), text) !=
           type.allowed.end();
  }
  bool operator()(const AddressKey&) const {
    const Result<Address> address = ParseAddress(text);
    if (!address) {
      return false;
    }
    *value = std::vector<Address>{*address};
    return true;
  }
  bool operator()(const AddressListKey&) const {
    std::vector<Address> addresses;
    for (const std::string& part : Split(text, ',')) {
      const Result<Address> address = ParseAddress(part);
      if (!address) {
        return false;
      }
      addresses.push_back(*address);
    }
    *value = addresses;
    return true;
  }
};

/// Provides the default value of a key. Returns false if the key is required.
struct DefaultValueReader {
  Settings::Value* value;

  bool operator()(const IntegerKey& type) const {
    *value = type.default_value;
    return true;
  }
  bool operator()(const NumberKey& type) const {
    *value = type.default_value;
    return true;
  }
  bool operator()(const DurationKey& type) const {
    *value = type.default_value;
    return true;
  }
  bool operator()(const TextKey& type) const {
    *value = type.default_value;
    return !type.required;
  }
  bool operator()(const AddressKey& type) const {
    const std::string& text = type.default_value;
    return !text.empty() && ValueReader{text, value}(type);
  }
  bool operator()(const AddressListKey&) const {
    *value = std::vector<Address>();
    return true;
  }
};

/// Formats the default value of a key for --help-settings.
struct DefaultValueText {
  std::string operator()(const IntegerKey& type) const {
    return std::to_string(type.default_value);
  }
  std::string operator()(const NumberKey& type) const {
    return FormatNumber(type.default_value);
  }
  std::string operator()(const DurationKey& type) const {
    return FormatDuration(type.default_value);
  }
  std::string operator()(const TextKey& type) const {
    return type.required ? "required" : "\"" + type.default_value + "\"";
  }
  std::string operator()(const AddressKey& type) const {
    return type.default_value.empty() ? "required" : type.default_value;
  }
  std::string operator()(const AddressListKey&) const { return "empty"; }
};

}  // namespace

Result<Address> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  int64_t port = 0;
  in_addr parsed{};
  if (colon == std::string_view::npos ||
      !ParseInteger(text.substr(colon + 1), &port) || port < 0 ||
      port > 65535 ||
      inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &parsed) !=
          1) {
    return Fail(ResultCode::kSettingsInvalid,
                "The address '" + std::string(text) + "' is not " +
                    AllowedText{}(AddressKey{}) + ".");
  }
  return Address{std::string(text.substr(0, colon)),
                 static_cast<uint16_t>(port)};
}

Result<Address> ParseServerAddress(std::string_view text) {
  Result<Address> address = ParseAddress(text);
  if (!address) {
    return address;
  }
  in_addr parsed{};
  inet_pton(AF_INET, address->host.c_str(), &parsed);
  const in_addr_t host = ntohl(parsed.s_addr);
  const bool is_single_host = host != INADDR_ANY && host < kFirstMulticast;
  if (address->port == 0 || !is_single_host) {
    return Fail(
        ResultCode::kSettingsInvalid,
        "The address '" + std::string(text) + "' is not that of a server.");
  }
  return address;
}

double Settings::Number(std::string_view section, std::string_view key) const {
  return std::get<double>(Find(section, key));
}

int64_t Settings::Integer(std::string_view section,
                          std::string_view key) const {
  return std::get<int64_t>(Find(section, key));
}

Duration Settings::Time(std::string_view section, std::string_view key) const {
  return std::get<Duration>(Find(section, key));
}

const std::string& Settings::Text(std::string_view section,
                                  std::string_view key) const {
  return std::get<std::string>(Find(section, key));
}

const Address& Settings::At(std::string_view section,
                            std::string_view key) const {
  return Addresses(section, key).front();
}

const std::vector<Address>& Settings::Addresses(std::string_view section,
                                                std::string_view key) const {
  return std::get<std::vector<Address>>(Find(section, key));
}

void Settings::Put(const std::string& section,
                   const std::string& key,
                   Value value) {
  m_values[section + "." + key] = std::move(value);
}

const Settings::Value& Settings::Find(std::string_view section,
                                      std::string_view key) const {
  return m_values.at(std::string(section) + "." + std::string(key));
}

Result<Settings> SettingsSchema::ReadFile(const std::string& path) const {
  std::ifstream stream(path);
  if (!stream) {
    return Fail(ResultCode::kSettingsInvalid,
                "The settings file '" + path + "' cannot be read.");
  }
  std::stringstream text;
  text << stream.rdbuf();
  return ParseText(text.str(), path);
}

Result<Settings> SettingsSchema::ParseText(const std::string& text,
                                           const std::string& origin) const {
  const Result<std::vector<IniEntry>> read = ReadIni(text, origin);
  if (!read) {
    return tl::unexpected<Error>(read.error());
  }
  const std::vector<IniEntry>& entries = *read;
  Settings settings;
  for (const SettingsKey& row : m_rows) {
    Settings::Value value;
    if (std::visit(DefaultValueReader{&value}, row.type)) {
      settings.Put(row.section, row.key, std::move(value));
      continue;
    }
    const bool given =
        std::any_of(entries.begin(), entries.end(), [&row](const auto& entry) {
          return entry.section == row.section && entry.key == row.key;
        });
    if (!given) {
      return Fail(ResultCode::kSettingsInvalid,
                  "The file '" + origin + "' lacks the key '" + row.key +
                      "' in section [" + row.section + "]; it must be " +
                      std::visit(AllowedText{}, row.type) + ".");
    }
  }
  for (const IniEntry& entry : entries) {
    const auto row =
        std::find_if(m_rows.begin(), m_rows.end(), [&entry](const auto& known) {
          return known.section == entry.section && known.key == entry.key;
        });
    if (row == m_rows.end()) {
      return Fail(ResultCode::kSettingsInvalid,
                  "The file '" + origin + "' has an unknown key '" + entry.key +
                      "' in section [" + entry.section +
                      "]; --help-settings lists the known ones.");
    }
    Settings::Value value;
    if (!std::visit(ValueReader{entry.value, &value}, row->type)) {
      return Fail(ResultCode::kSettingsInvalid,
                  "The file '" + origin + "', section [" + entry.section +
                      "], key '" + entry.key + "' has the value '" +
                      entry.value + "'; allowed is " +
                      std::visit(AllowedText{}, row->type) + ".");
    }
    settings.Put(entry.section, entry.key, std::move(value));
  }
  return settings;
}

std::string SettingsSchema::Describe() const {
  std::string text;
  for (const SettingsKey& row : m_rows) {
    text += "[" + row.section + "] " + row.key + ": " + row.meaning +
            " Allowed: " + std::visit(AllowedText{}, row.type) +
            ". Default: " + std::visit(DefaultValueText{}, row.type) + ".\n";
  }
  return text;
}

}  // namespace filbertrack
