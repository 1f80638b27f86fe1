#pragma once

namespace walkford {
struct Term;
class Fates;
}  // namespace walkford
