// A compact text encoding of a list of ascending numbers, which lets one stored value of a few KiB
// hold hundreds of machine names.
//
// The text consists of printable characters that JSON doesn't escape; each encodes a symbol from 0
// to 91. The list is encoded as the differences (steps) between successive numbers: a step of up to
// 56 takes one symbol, a step of up to 2,540 takes two, and any other takes ten. A run of up to 9
// consecutive numbers takes one symbol. With steps written as decimal numbers, 662 machines filled
// a value of 4 KiB.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace walkford {

// Encodes numbers below 2^58 in ascending order, each at most once.
std::string encode_number_series(const std::vector<std::uint64_t>& numbers);

// Returns nullopt if the text is not a valid encoding.
std::optional<std::vector<std::uint64_t>> decode_number_series(const std::string& text);

}  // namespace walkford
