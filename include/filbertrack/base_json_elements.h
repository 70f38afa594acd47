#pragma once

/// Splits JSON text at its brackets, commas and quotes without building values.
/// Parts of a text can then be parsed one at a time, and an invalid part does
/// not make the others unreadable.

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "filbertrack/base_json.h"

namespace filbertrack {

/// Returns the text of a member of the JSON object `object`; that of the last
/// one if several have the name, as for parsed objects. If the object is cut
/// off within the member, returns its beginning; nullopt if there is none.
/// Names with escapes are not found.
std::optional<std::string_view> FindJsonMember(std::string_view object,
                                               std::string_view name);

/// Reads a JSON object that arrives in pieces and splits it into the elements
/// of one of its arrays and the rest. At most one element is kept in memory.
class JsonElements {
 public:
  struct Element {
    std::string_view text;
    /// False if the element is longer than the limit; `text` is its beginning.
    bool is_complete = true;
  };
  using OnElement = std::function<void(const Element& element)>;

  /// Splits the array that is the member `array` of the object. `on_element` is
  /// called for each element as soon as it is complete.
  JsonElements(std::string_view array,
               size_t max_element_bytes,
               OnElement on_element);

  void Push(std::string_view bytes);

  /// The object, with an empty array in place of the split one. Fails with
  /// kBadRequest if it is not complete or not valid.
  Result<nlohmann::json> Rest() const;

 private:
  /// Ends the current element; `end` is its last piece.
  void EndElement(std::string_view end);
  /// Stores a piece of the current element or of the rest.
  void Keep(std::string_view piece);
  /// Whether the rest read so far ends with the start of the array to split.
  bool IsArrayNext() const;

  std::string m_array_key;
  size_t m_max_element_bytes;
  OnElement m_on_element;
  std::string m_rest;
  /// Earlier pieces of the current element.
  std::string m_element;
  bool m_is_element_complete = true;
  size_t m_depth = 0;
  bool m_in_array = false;
  bool m_in_string = false;
  bool m_is_escaped = false;
  bool m_is_malformed = false;
};

}  // namespace filbertrack
