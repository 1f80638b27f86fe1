// The durable list of machines: which ones are held, permanent or temporary, and the rental
// requests whose answer is not yet known.
#pragma once

#include "bookkeeping/records.hpp"

namespace walkford {

struct RentalRequest {
    std::string name;
    Id kind = kNone;
    Id zone = kNone;
    bool spot = false;
    std::uint32_t count = 0;
    bool permanent = false;
};
struct HeldMachine {
    std::string name;
    Id kind = kNone;
    Id zone = kNone;
    bool spot = false;
    bool permanent = false;
    bool returning = false;
};
// The design's one small value, or one part of it where one value does not hold them all. A part
// but the first has machines only.
struct Registry {
    std::uint64_t next_hire = 1;
    bool first_rented = false;  // a first rental has been made: later ones are temporary
    std::vector<RentalRequest> rentals;
    std::vector<HeldMachine> machines;
};
Json encode_registry(const Registry& registry, const Names& names);
std::optional<Registry> decode_registry(const Json& value, Names& names);

}  // namespace walkford
