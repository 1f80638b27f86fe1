// Checked access to the fields of a stored record.
#pragma once

#include <concepts>
#include <stdexcept>
#include <string>
#include <utility>

#include "bookkeeping/json.hpp"

namespace walkford {

// Reports the field that prevents a stored record from being decoded, and why. It is thrown and
// caught within the codecs; `what()` is logged.
class RecordError : public std::runtime_error {
  public:
    // A required field is absent.
    static RecordError missing(const std::string& field) { return RecordError("missing " + field); }
    // A field is present but has the wrong type or a value that isn't allowed.
    static RecordError invalid(const std::string& field) { return RecordError("bad " + field); }

  private:
    using std::runtime_error::runtime_error;
};

// Returns a field that must be present.
inline const Json& record_item(const Json& record, const char* field) {
    auto found = record.find(field);
    if (found == record.end()) {
        throw RecordError::missing(field);
    }
    return *found;
}

// Converts a value that belongs to the given field. A number out of the range of an integer type is
// refused, not truncated.
template <typename Value>
Value convert_item(const Json& item, const char* field) {
    try {
        if constexpr (std::integral<Value> && !std::same_as<Value, bool>) {
            bool in_range =
                item.is_number_unsigned()
                    ? std::in_range<Value>(item.get<std::uint64_t>())
                    : !item.is_number_integer() || std::in_range<Value>(item.get<std::int64_t>());
            if (!in_range) {
                throw RecordError::invalid(field);
            }
        }
        return item.get<Value>();
    } catch (const Json::exception&) {
        throw RecordError::invalid(field);
    }
}

// Reads a field that must be present.
template <typename Value>
Value record_field(const Json& record, const char* field) {
    return convert_item<Value>(record_item(record, field), field);
}

// Reads an element of a field that is an array.
template <typename Value>
Value record_element(const Json& record, const char* field, std::size_t index) {
    const Json& list = record_item(record, field);
    if (!list.is_array() || index >= list.size()) {
        throw RecordError::invalid(field);
    }
    return convert_item<Value>(list[index], field);
}

}  // namespace walkford
