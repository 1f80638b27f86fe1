// Fields of the wire's maps, checked as they are read.
#pragma once

#include <cstdint>
#include <string>

#include "protocol/messagepack_codec.hpp"

namespace walkford::protocol {

// A field that is missing or of the wrong sort. It never leaves the wire's own files.
struct BadField {
    std::string what;
};

inline constexpr std::size_t kMostText = 200;

const Json& need(const Json& map, const char* field);
bool absent(const Json& map, const char* field);
std::string text(const Json& map, const char* field, std::size_t most = kMostText);
// Decimals are also read from whole numbers.
double decimal(const Json& map, const char* field);
// Whole numbers are also read from decimals without a fraction.
std::uint64_t whole(const Json& value, const char* field);
std::uint64_t whole(const Json& map, const char* field, const char* in);
bool truth(const Json& map, const char* field);

}  // namespace walkford::protocol
