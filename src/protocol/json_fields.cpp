#include "protocol/json_fields.hpp"

#include <algorithm>
#include <cmath>

namespace walkford::protocol {

namespace {
// Below 2^53, so that a double represents every integer up to this limit exactly.
constexpr double kMaxUnsignedFloat = 9e15;
}  // namespace

DecodeError DecodeError::missing(const std::string& field_name) {
    return {DecodeProblem::missing_field, field_name, "missing " + field_name};
}

DecodeError DecodeError::invalid(const std::string& field_name) {
    return {DecodeProblem::invalid_field, field_name, "bad " + field_name};
}

DecodeError DecodeError::not_a_map() { return {DecodeProblem::not_a_map, "", "not a map"}; }

const Json& required_field(const Json& map, const char* field) {
    auto found = map.find(field);
    if (found == map.end() || found->is_null()) {
        throw DecodeError::missing(field);
    }
    return *found;
}

bool absent_or_null(const Json& map, const char* field) {
    auto found = map.find(field);
    return found == map.end() || found->is_null();
}

std::string string_field(const Json& map, const char* field) {
    const Json& value = required_field(map, field);
    if (!value.is_string()) {
        throw DecodeError::invalid(field);
    }
    return value.get<std::string>();
}

double number_field(const Json& map, const char* field) {
    const Json& value = required_field(map, field);
    if (!value.is_number()) {
        throw DecodeError::invalid(field);
    }
    double number = value.get<double>();
    if (!std::isfinite(number) || number < 0) {
        throw DecodeError::invalid(field);
    }
    return std::min(number, kMaxAmount);
}

std::uint64_t unsigned_field(const Json& map, const char* field) {
    const Json& value = required_field(map, field);
    if (value.is_number_unsigned()) {
        return value.get<std::uint64_t>();
    }
    if (value.is_number_integer() && value.get<std::int64_t>() >= 0) {
        return value.get<std::uint64_t>();
    }
    if (value.is_number_float()) {
        double number = value.get<double>();
        bool whole = std::isfinite(number) && number >= 0 && number < kMaxUnsignedFloat &&
                     number == std::floor(number);
        if (whole) {
            return static_cast<std::uint64_t>(number);
        }
    }
    throw DecodeError::invalid(field);
}

const Json& list_field(const Json& map, const char* field) {
    const Json& value = required_field(map, field);
    if (!value.is_array()) {
        throw DecodeError::invalid(field);
    }
    return value;
}

bool bool_field(const Json& map, const char* field) {
    const Json& value = required_field(map, field);
    if (!value.is_boolean()) {
        throw DecodeError::invalid(field);
    }
    return value.get<bool>();
}

bool optional_flag(const Json& map, const char* field) {
    auto found = map.find(field);
    return found != map.end() && found->is_boolean() && found->get<bool>();
}

}  // namespace walkford::protocol
