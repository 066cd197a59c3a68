// The time limit of every wait in the tests.
#ifndef GATEWAY_TESTS_SUPPORT_TIME_LIMIT_H_
#define GATEWAY_TESTS_SUPPORT_TIME_LIMIT_H_

namespace gateway::test_support {

// Far longer than any awaited event takes, even on a busy machine, so that an event that has not occurred by
// then can be assumed to never occur.
inline constexpr int kWaitTimeoutS = 60;

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_TIME_LIMIT_H_
