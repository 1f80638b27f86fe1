#pragma once

namespace walkford {
struct LeaderContext;
class TaskLifecycle;
}  // namespace walkford
