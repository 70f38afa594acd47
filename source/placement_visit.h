#pragma once

/// Overload set of lambdas, for std::visit().

namespace filbertrack {

template <typename... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace filbertrack
