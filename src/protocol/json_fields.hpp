// Checked reading of the fields of a decoded message. All functions throw DecodeError.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "protocol/messagepack_codec.hpp"

namespace walkford::protocol {

// Why a message can't be decoded.
enum class DecodeProblem : std::uint8_t {
    missing_field,
    invalid_field,  // of the wrong type, or outside the range that is allowed
    not_a_map,      // the message itself
};

// A message that can't be decoded: the field and what is wrong with it. It is thrown and caught
// within the codecs; `what()` is the text that a user is answered or that is logged.
class DecodeError : public std::runtime_error {
  public:
    // A field that is required and absent or null.
    static DecodeError missing(const std::string& field_name);
    // A field that is present and can't be used.
    static DecodeError invalid(const std::string& field_name);
    // A message that is something other than a map.
    static DecodeError not_a_map();

    // What is wrong with the field.
    DecodeProblem problem() const { return problem_; }
    // Empty where the message itself is not a map.
    const std::string& field() const { return field_; }

  private:
    DecodeError(DecodeProblem problem, std::string field_name, const std::string& message)
        : std::runtime_error(message), problem_(problem), field_(std::move(field_name)) {}

    DecodeProblem problem_;
    std::string field_;
};

// The longest text that is accepted where no other limit is given, in bytes.
inline constexpr std::size_t kMaxTextBytes = 200;

// The field's value, which must be there and not null.
const Json& required_field(const Json& map, const char* field);
// Whether the field is missing or null.
bool absent(const Json& map, const char* field);
// A text of at most `max_bytes`.
std::string text_field(const Json& map, const char* field, std::size_t max_bytes = kMaxTextBytes);
// A finite number from 0 to 10,000,000; whole numbers are taken as well as decimals.
double decimal_field(const Json& map, const char* field);
// A whole number that isn't negative; decimals without a fraction are taken as well.
std::uint64_t whole_field(const Json& map, const char* field);
// A required true or false.
bool bool_field(const Json& map, const char* field);
// False where the field is absent or anything other than true; never throws.
bool optional_flag(const Json& map, const char* field);

}  // namespace walkford::protocol
