// Checked access to the fields of a decoded message. The functions throw DecodeError unless stated
// otherwise.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "protocol/messagepack_codec.hpp"

namespace walkford::protocol {

// Why a message cannot be decoded.
enum class DecodeProblem : std::uint8_t {
    missing_field,
    invalid_field,  // of the wrong type or outside the allowed range
    not_a_map,      // the message itself is not a map
};

// Reports the field that prevents a message from being decoded, and why. It is thrown and caught
// within the codecs; `what()` is the text that is sent to the user or logged.
class DecodeError : public std::runtime_error {
  public:
    // A required field is absent or null.
    static DecodeError missing(const std::string& field_name);
    // A field is present but has the wrong type or a value that isn't allowed.
    static DecodeError invalid(const std::string& field_name);
    // The message itself is not a map.
    static DecodeError not_a_map();

    DecodeProblem problem() const { return problem_; }
    // The name of the field; empty if the message itself is not a map.
    const std::string& field() const { return field_; }

  private:
    DecodeError(DecodeProblem problem, std::string field_name, const std::string& message)
        : std::runtime_error(message), problem_(problem), field_(std::move(field_name)) {}

    DecodeProblem problem_;
    std::string field_;
};

// The largest amount that is kept: of seconds (about 31,700 years), cores, GB or money. Sums and
// products of such amounts are finite.
inline constexpr double kMaxAmount = 1e12;

// Returns the value of a field that must be present and not null.
const Json& required_field(const Json& map, const char* field);
// Returns whether the field is absent or null. Never throws.
bool absent_or_null(const Json& map, const char* field);
// Reads a required string of any length; the size of a body bounds it.
std::string string_field(const Json& map, const char* field);
// Reads a required finite number of at least 0, encoded as an integer or as a float. A number above
// kMaxAmount is read as kMaxAmount, since the protocols set no upper limit.
double number_field(const Json& map, const char* field);
// Reads a required non-negative integer. Floats without a fractional part are accepted as well.
std::uint64_t unsigned_field(const Json& map, const char* field);
// Returns a required array.
const Json& list_field(const Json& map, const char* field);
// Reads a required boolean.
bool bool_field(const Json& map, const char* field);
// Returns true only if the field is present and true. Never throws.
bool optional_flag(const Json& map, const char* field);

}  // namespace walkford::protocol
