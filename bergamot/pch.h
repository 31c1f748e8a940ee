#pragma once

// <utility> comes first: Boost 1.74 needs it before boost/asio/awaitable.hpp in C++20.
#include <utility>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <compare>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include <cpprest/json.h>
#include <tl/expected.hpp>
