// A compact text for a list of ascending numbers, so that one stored value of a few KiB holds
// hundreds of machine names.
//
// The text consists of printable characters that JSON doesn't escape; each stands for a symbol from
// 0 to 91. A step to the next number takes one symbol up to 56, two up to 2,540, else ten; and up
// to 9 numbers that follow each other without a gap take one. (As decimal steps, 662 machines
// filled a value of 4 KiB.)
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace walkford {

// Encodes numbers below 2^58 in ascending order, each at most once.
std::string encode_number_series(const std::vector<std::uint64_t>& numbers);

// Nothing where the text is not of this form.
std::optional<std::vector<std::uint64_t>> decode_number_series(const std::string& text);

}  // namespace walkford
