// Tests that a gateway process reaches its event loop and serves whatever its standard error is, whenever a
// signal arrives and whichever clock it is given, and that it waits nowhere but in its event loop. Operators'
// machines differ in these points, and a simulator that runs the program in simulated time relies on the
// last.
#include "support/gateway_start.h"

#include <fcntl.h>
#include <linux/seccomp.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/controlled_clock.h"
#include "support/gateway_fixture.h"
#include "support/system_call_filter.h"
#include "support/system_call_supervisor.h"
#include "support/temporary_file.h"
#include "support/traced_process.h"

namespace gateway::net {
namespace {

using namespace test_support;

// The servers that a gateway talks to, and its configuration file.
struct GatewayDependencies {
  GatewayDependencies() {
    json endpoints = json::array({EndpointEntry("s1", backend.port())});
    discovery.Set(endpoints);
    json config = ConfigJson(discovery.port(), counter.port(), endpoints);
    configuration_file = std::make_unique<TemporaryFile>(config.dump());
  }
  const std::string& configuration_path() const { return configuration_file->path(); }

  StubBackend backend{RespondsWith(OkResponse("x"))};
  StubCounter counter{[](const std::string&, double) { return BulkString("0"); }};
  StubDiscovery discovery;
  std::unique_ptr<TemporaryFile> configuration_file;
};

// Expects the gateway to serve a request before and after SIGHUP. The suite GatewayConfiguration tests that a
// reload takes effect.
void ExpectServes(const GatewayStart& gateway, const std::string& scenario) {
  std::unique_ptr<TestConnection> client = gateway.Connect();
  ASSERT_NE(client, nullptr) << scenario;
  EXPECT_EQ(Exchange(*client, MakeRequest("quote")).status(), 200) << scenario;
  gateway.Signal(SIGHUP);
  EXPECT_EQ(Exchange(*client, MakeRequest("quote")).status(), 200) << scenario;
}

void ExpectShutsDown(GatewayStart* gateway, const std::string& scenario) {
  gateway->Signal(SIGTERM);
  EXPECT_EQ(gateway->AwaitExit(), 0) << scenario;
}

bool IsEventLoopWait(long number) {
#ifdef SYS_epoll_wait
  if (number == SYS_epoll_wait) return true;
#endif
  return number == SYS_epoll_pwait;
}

// System calls -------------------------------------------------------------------------------------------

constexpr uint32_t kKill = SECCOMP_RET_KILL_PROCESS;
constexpr uint32_t kAllow = SECCOMP_RET_ALLOW;
constexpr uint32_t kAllBits = 0xffffffff;

constexpr uint32_t FailsWith(int error) {
  return SECCOMP_RET_ERRNO | (static_cast<uint32_t>(error) & SECCOMP_RET_DATA);
}

// Applies `action` to calls that create threads or processes, that wait outside the event loop, or that open
// other sockets than TCP and UDP over IPv4. If only some uses of a call wait, the filter checks the
// call's arguments. Where a poll is a ppoll, its time is behind a pointer, and SystemCallSupervisor checks
// it. Reads, writes and connects are left out, as they wait only on a blocking descriptor: GatewayWaits tests
// those.
SystemCallFilter FilterCallsOutsideTheEventLoop(uint32_t action) {
  SystemCallFilter filter;
  for (long number : {SYS_clone, SYS_clone3, SYS_unshare, SYS_execveat}) filter.Add(number, action);
  for (long number : {SYS_io_uring_setup, SYS_io_uring_enter, SYS_io_uring_register, SYS_sendfile}) {
    filter.Add(number, action);
  }
  for (long number : {SYS_nanosleep, SYS_clock_nanosleep, SYS_pselect6, SYS_rt_sigsuspend,
                      SYS_rt_sigtimedwait, SYS_wait4, SYS_waitid, SYS_flock, SYS_semtimedop, SYS_msgrcv,
                      SYS_mq_timedreceive, SYS_recvmmsg, SYS_setitimer, SYS_timer_create, SYS_sched_yield}) {
    filter.Add(number, action);
  }
#ifdef SYS_fork  // legacy calls, which newer architectures lack
  for (long number : {SYS_fork, SYS_vfork, SYS_select, SYS_pause, SYS_alarm}) filter.Add(number, action);
  filter.AddIf(SYS_poll, 2, kAllBits, 0, kAllow);
  filter.Add(SYS_poll, action);
  filter.Add(SYS_ppoll, action);
#else
  filter.Add(SYS_ppoll, SECCOMP_RET_USER_NOTIF);
#endif
  constexpr uint32_t kFutexCommand = 0x7f;
  constexpr uint32_t kFutexWait = 0, kFutexLockPi = 6, kFutexWaitBitset = 9, kFutexWaitRequeuePi = 11,
                     kFutexLockPi2 = 13;
  for (uint32_t command : {kFutexWait, kFutexLockPi, kFutexWaitBitset, kFutexWaitRequeuePi, kFutexLockPi2}) {
    filter.AddIf(SYS_futex, 1, kFutexCommand, command, action);
  }
#ifdef SYS_futex_waitv
  filter.Add(SYS_futex_waitv, action);
#endif
  filter.AddIf(SYS_fcntl, 1, kAllBits, F_SETLKW, action);
  filter.AddIf(SYS_timerfd_create, 0, kAllBits, CLOCK_MONOTONIC, kAllow);
  filter.Add(SYS_timerfd_create, action);
  filter.AddIf(SYS_socket, 0, kAllBits, AF_INET, kAllow);
  filter.Add(SYS_socket, action);
  filter.Add(SYS_socketpair, action);
  return filter;
}

// A gateway whose process runs with a filter of FilterCallsOutsideTheEventLoop() with the same action.
class FilteredGateway {
 public:
  FilteredGateway(const GatewayDependencies& dependencies, const SystemCallFilter& filter, uint32_t action,
                  GatewayStartOptions options = {})
      : supervisor_(action), gateway_(dependencies.configuration_path(), WithFilter(filter, options)) {
    supervisor_.Start();
  }
  GatewayStart& operator*() { return gateway_; }
  GatewayStart* operator->() { return &gateway_; }

 private:
  const GatewayStartOptions& WithFilter(const SystemCallFilter& filter, GatewayStartOptions& options) const {
    options.descriptor_before_program = supervisor_.child_socket();
    options.before_program = [this, &filter] {
      if (!supervisor_.InstallInChild(filter)) _exit(126);
    };
    return options;
  }

  SystemCallSupervisor supervisor_;
  GatewayStart gateway_;
};

void ExpectServesWithFilter(const SystemCallFilter& filter, uint32_t action) {
  GatewayDependencies dependencies;
  FilteredGateway gateway(dependencies, filter, action);
  ExpectServes(*gateway, "with the filter");
  ExpectShutsDown(&*gateway, "with the filter");
}

SystemCallFilter FilterThatKillsOutsideTheEventLoop() {
  SystemCallFilter filter = FilterCallsOutsideTheEventLoop(kKill);
  filter.Add(SYS_splice, kKill);
  filter.AddForAllOthers(kAllow);
  return filter;
}

// Runs a program that waits outside its event loop at its exit. Returns its exit status, or the negated
// number of the signal that ended it.
int ExitOfForbiddenWait(const GatewayStartOptions& options) {
  GatewayDependencies dependencies;
  SystemCallFilter filter = FilterThatKillsOutsideTheEventLoop();
  FilteredGateway gateway(dependencies, filter, kKill, options);
  ExpectServes(*gateway, "a wait at the exit");
  gateway->Signal(SIGTERM);
  return gateway->AwaitExit();
}

// A simulator that controls the process's clocks, sockets and waits supports the event loop's wait and no
// other. A forbidden call ends the process by SIGSYS, or by SIGKILL where the supervisor decides; `strace -f`
// of the program shows which call it was.
TEST(GatewayStart, MakesNoSystemCallThatWaitsOutsideTheEventLoop) {
  ExpectServesWithFilter(FilterThatKillsOutsideTheEventLoop(), kKill);
}

// Verifies that the filter of the test above detects a forbidden call: this program sleeps before its exit.
TEST(GatewayStart, EndsAProgramThatSleepsWithTheFilter) {
  GatewayStartOptions options;
  options.program = API_GATEWAY_SLOW_EXIT;
  EXPECT_EQ(ExitOfForbiddenWait(options), -SIGSYS);
}

// Verifies that the filter allows only a poll that does not wait: this program polls for a time, or for ever,
// before its exit.
TEST(GatewayStart, EndsAProgramThatPollsForATimeWithTheFilter) {
#ifdef SYS_poll
  constexpr int kSignal = SIGSYS;
#else
  constexpr int kSignal = SIGKILL;
#endif
  GatewayStartOptions options;
  options.program = API_GATEWAY_POLLING_EXIT;
  for (const char* time_ms : {"1", "100", "-1"}) {
    options.environment = {std::string("POLL_AT_EXIT_MS=") + time_ms};
    EXPECT_EQ(ExitOfForbiddenWait(options), -kSignal) << time_ms;
  }
  options.environment = {"POLL_AT_EXIT_MS=0"};
  EXPECT_EQ(ExitOfForbiddenWait(options), 0);
}

// An operator's system may refuse threads and processes. A library that tries them as the program starts must
// not depend on their success.
TEST(GatewayStart, RunsWhereThreadsAndProcessesAreRefused) {
  constexpr uint32_t kRefuse = FailsWith(ENOSYS);
  SystemCallFilter filter = FilterCallsOutsideTheEventLoop(kRefuse);
  filter.Add(SYS_splice, FailsWith(EINVAL));
  filter.AddForAllOthers(kAllow);
  ExpectServesWithFilter(filter, kRefuse);
}

// The log -------------------------------------------------------------------------------------------------

// Standard error of a gateway that nobody reads.
struct UnreadLog {
  const char* name;
  int writer;
  int reader;  // held open and never read; -1 if there is none
};

void FillBuffer(int descriptor) {
  int flags = fcntl(descriptor, F_GETFL);
  fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  const std::string line = std::string(99, 'x') + "\n";
  while (write(descriptor, line.data(), line.size()) > 0) {
  }
  while (write(descriptor, "\n", 1) > 0) {
  }
  fcntl(descriptor, F_SETFL, flags);
}

UnreadLog MakePipeLog(const char* name, int bytes, bool full) {
  int pipe_ends[2];
  EXPECT_EQ(pipe(pipe_ends), 0);
  EXPECT_GT(fcntl(pipe_ends[1], F_SETPIPE_SZ, bytes), 0);
  if (full) FillBuffer(pipe_ends[1]);
  return {name, pipe_ends[1], pipe_ends[0]};
}

UnreadLog MakeClosedPipeLog() {
  UnreadLog log = MakePipeLog("a pipe whose reader has gone", 1, false);
  close(std::exchange(log.reader, -1));
  return log;
}

UnreadLog MakeTerminalLog(const char* name, bool full) {
  int reader = posix_openpt(O_RDWR | O_NOCTTY);
  EXPECT_EQ(grantpt(reader), 0);
  EXPECT_EQ(unlockpt(reader), 0);
  int writer = open(ptsname(reader), O_RDWR | O_NOCTTY);
  EXPECT_GE(writer, 0);
  if (full) FillBuffer(writer);
  return {name, writer, reader};
}

UnreadLog MakeFileLog(const TemporaryFile& file) {
  return {"a file", open(file.path().c_str(), O_WRONLY | O_APPEND), -1};
}

// Standard error is full, or its reader has gone, before the gateway writes its first line. A gateway that
// waited for the log would never listen; one that treated the failed write as fatal would exit.
TEST(GatewayStart, StartsWhateverItsLogIs) {
  GatewayDependencies dependencies;
  TemporaryFile log_file("");
  std::vector<UnreadLog> logs = {MakePipeLog("an empty pipe of a page", 1, false),
                                 MakePipeLog("a full pipe of a page", 1, true),
                                 MakePipeLog("a full pipe", 65536, true),
                                 MakeClosedPipeLog(),
                                 MakeTerminalLog("a terminal", false),
                                 MakeTerminalLog("a full terminal", true),
                                 MakeFileLog(log_file)};
  std::vector<std::unique_ptr<GatewayStart>> gateways;
  for (const UnreadLog& log : logs) {
    GatewayStartOptions options;
    options.standard_error = log.writer;
    gateways.push_back(std::make_unique<GatewayStart>(dependencies.configuration_path(), options));
  }
  for (size_t i = 0; i < logs.size(); ++i) ExpectServes(*gateways[i], logs[i].name);
  for (size_t i = 0; i < logs.size(); ++i) ExpectShutsDown(gateways[i].get(), logs[i].name);
  for (const UnreadLog& log : logs) {
    close(log.writer);
    if (log.reader >= 0) close(log.reader);
  }
}

// Signals ------------------------------------------------------------------------------------------------

// Starts one gateway for each system call between the one that sets the signal's handler and the event loop's
// first wait. Each gateway gets the signal in a different one of these calls.
std::vector<std::unique_ptr<GatewayStart>> StartWithSignalAtEachCall(const GatewayDependencies& dependencies,
                                                                     int signal) {
  constexpr int kMaxGateways = 500;  // more than the system calls of a start
  std::vector<std::unique_ptr<GatewayStart>> gateways;
  GatewayStartOptions options;
  options.before_program = [] {
    if (!AskToBeTraced()) _exit(126);
  };
  bool reached_event_loop = false;
  while (!reached_event_loop && gateways.size() < kMaxGateways) {
    gateways.push_back(std::make_unique<GatewayStart>(dependencies.configuration_path(), options));
    TracedProcess process(gateways.back()->pid());
    TracedProcess::Call call;
    do {
      call = process.RunToNextCall();
    } while (call.number >= 0 &&
             !(call.number == SYS_rt_sigaction && call.first_argument == static_cast<uint64_t>(signal)));
    for (size_t i = 0; i < gateways.size() && !reached_event_loop; ++i) {
      call = process.RunToNextCall();
      reached_event_loop = call.number < 0 || IsEventLoopWait(call.number);
    }
    EXPECT_GE(call.number, 0) << "the process ended before its event loop's first wait";
    process.Release(signal);
  }
  EXPECT_TRUE(reached_event_loop);
  return gateways;
}

// A supervisor ends a gateway that it has just started. The process must exit with status 0 and not be killed
// by the signal, whichever system call of the start SIGTERM interrupts.
TEST(GatewayStart, ShutsDownWheneverSigtermArrives) {
  GatewayDependencies dependencies;
  auto gateways = StartWithSignalAtEachCall(dependencies, SIGTERM);
  for (size_t i = 0; i < gateways.size(); ++i) {
    EXPECT_EQ(gateways[i]->AwaitExit(), 0) << "in call " << i + 1 << " after the handler was set";
  }
}

// SIGHUP announces a new configuration while the gateway starts. The gateway must still start and serve,
// whichever system call of the start SIGHUP interrupts.
TEST(GatewayStart, StartsWheneverSighupArrives) {
  GatewayDependencies dependencies;
  auto gateways = StartWithSignalAtEachCall(dependencies, SIGHUP);
  for (size_t i = 0; i < gateways.size(); ++i) {
    std::unique_ptr<TestConnection> client = gateways[i]->Connect();
    ASSERT_NE(client, nullptr) << "in call " << i + 1 << " after the handler was set";
    EXPECT_EQ(Exchange(*client, MakeRequest("quote")).status(), 200) << "in call " << i + 1;
    gateways[i]->Signal(SIGTERM);
  }
  for (auto& gateway : gateways) EXPECT_EQ(gateway->AwaitExit(), 0);
}

// Clocks -------------------------------------------------------------------------------------------------

// A gateway process whose clocks the test controls.
struct GatewayWithControlledClock {
  explicit GatewayWithControlledClock(const std::string& path) : configuration_path(path) {
    options.environment = {std::string("LD_PRELOAD=") + CONTROLLED_CLOCK,
                           std::string(kControlledClockVariable) + "=" + clock_file.path()};
  }
  ~GatewayWithControlledClock() {
    gateway.reset();
    munmap(clock, sizeof(*clock));
  }
  GatewayWithControlledClock(const GatewayWithControlledClock&) = delete;
  GatewayWithControlledClock& operator=(const GatewayWithControlledClock&) = delete;
  void Start() { gateway = std::make_unique<GatewayStart>(configuration_path, options); }

  const std::string configuration_path;
  TemporaryFile clock_file{""};
  ControlledClock* clock = MapControlledClock(clock_file.path().c_str());
  GatewayStartOptions options;
  std::unique_ptr<GatewayStart> gateway;
};

// A simulator may stop the process's clock while the event loop's waits still end by the system's clock, so
// that the loop wakes up for a timer that is not due by its own clock. The process must go on to wait in its
// event loop, without busy-waiting, and serve requests.
TEST(GatewayStart, WaitsWhileItsClockIsStopped) {
  constexpr auto kObservationTime = std::chrono::milliseconds(300);
  // About 20 waits a second were measured; a loop that busy-waits makes thousands.
  constexpr int64_t kMaxWaits = 300;
  GatewayDependencies dependencies;
  dependencies.discovery.SetSilent(true);  // so that a time-out and a wake-up are pending
  GatewayWithControlledClock process(dependencies.configuration_path());
  ASSERT_NE(process.clock, nullptr);
  process.clock->frozen = true;
  process.Start();
  std::unique_ptr<TestConnection> client = process.gateway->Connect();
  ASSERT_NE(client, nullptr);
  EXPECT_EQ(Exchange(*client, MakeRequest("quote")).status(), 200);
  EXPECT_GT(process.clock->monotonic_readings, 0);  // the process reads the stopped clock
  int64_t waits_before = process.clock->event_loop_waits;
  EXPECT_GT(waits_before, 0);
  std::this_thread::sleep_for(kObservationTime);
  EXPECT_LT(process.clock->event_loop_waits - waits_before, kMaxWaits);
  EXPECT_EQ(process.clock->other_timed_waits, 0);
  EXPECT_EQ(Exchange(*client, MakeRequest("quote")).status(), 200);
}

}  // namespace
}  // namespace gateway::net
