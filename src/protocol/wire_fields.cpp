#include "protocol/wire_fields.hpp"

#include <cmath>

namespace walkford::protocol {

namespace {
constexpr double kMostAmount = 1e7;
}

const Json& need(const Json& map, const char* field) {
    auto it = map.find(field);
    if (it == map.end() || it->is_null()) {
        throw BadField{std::string("missing ") + field};
    }
    return *it;
}
bool absent(const Json& map, const char* field) {
    auto it = map.find(field);
    return it == map.end() || it->is_null();
}
std::string text(const Json& map, const char* field, std::size_t most) {
    const Json& v = need(map, field);
    if (!v.is_string() || v.get_ref<const std::string&>().size() > most) {
        throw BadField{std::string("bad ") + field};
    }
    return v.get<std::string>();
}
double decimal(const Json& map, const char* field) {
    const Json& v = need(map, field);
    if (!v.is_number()) {
        throw BadField{std::string("bad ") + field};
    }
    double d = v.get<double>();
    if (!std::isfinite(d) || d < 0 || d > kMostAmount) {
        throw BadField{std::string("bad ") + field};
    }
    return d;
}
std::uint64_t whole(const Json& v, const char* field) {
    if (v.is_number_unsigned()) {
        return v.get<std::uint64_t>();
    }
    if (v.is_number_integer() && v.get<std::int64_t>() >= 0) {
        return v.get<std::uint64_t>();
    }
    if (v.is_number_float()) {
        double d = v.get<double>();
        if (std::isfinite(d) && d >= 0 && d < 9e15 && d == std::floor(d)) {
            return static_cast<std::uint64_t>(d);
        }
    }
    throw BadField{std::string("bad ") + field};
}
std::uint64_t whole(const Json& map, const char* field, const char* /*in*/) {
    return whole(need(map, field), field);
}
bool truth(const Json& map, const char* field) {
    const Json& v = need(map, field);
    if (!v.is_boolean()) {
        throw BadField{std::string("bad ") + field};
    }
    return v.get<bool>();
}

}  // namespace walkford::protocol
