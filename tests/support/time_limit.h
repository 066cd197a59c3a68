// The bound on every wait of the socket tests.
#ifndef GATEWAY_TESTS_SUPPORT_TIME_LIMIT_H_
#define GATEWAY_TESTS_SUPPORT_TIME_LIMIT_H_

namespace gateway::test_support {

// s; far above what any awaited event takes. One that has not come by then never will.
inline constexpr int kWaitTimeoutS = 60;

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_TIME_LIMIT_H_
