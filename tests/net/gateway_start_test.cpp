// The start of a gateway process, and what it may not do then or later: an operator's machine, or a simulator
// that runs the gateway's program in simulated time, finds it in its event loop whatever its log is, whenever
// a signal comes, and by the clocks that it is given.
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
#include "support/temporary_file.h"
#include "support/traced_process.h"

namespace gateway::net {
namespace {

using namespace test_support;

// The servers that a gateway talks to, and its configuration file.
struct Surroundings {
  Surroundings() {
    json endpoints = json::array({EndpointEntry("s1", backend.port())});
    discovery.Set(endpoints);
    json config = ConfigJson(discovery.port(), counter.port(), endpoints);
    file = std::make_unique<TemporaryFile>(config.dump());
  }
  const std::string& path() const { return file->path(); }

  StubBackend backend{RespondsWith(OkResponse("x"))};
  StubCounter counter{[](const std::string&, double) { return BulkString("0"); }};
  StubDiscovery discovery;
  std::unique_ptr<TemporaryFile> file;
};

// Serves a request, gets SIGHUP and serves another. That a reload takes effect is GatewayConfiguration's to
// test.
void ExpectServes(const GatewayStart& gateway, const std::string& story) {
  std::unique_ptr<TestConnection> client = gateway.Connect();
  ASSERT_NE(client, nullptr) << story;
  EXPECT_EQ(Exchange(*client, MakeRequest("quote")).status(), 200) << story;
  gateway.Signal(SIGHUP);
  EXPECT_EQ(Exchange(*client, MakeRequest("quote")).status(), 200) << story;
}

void ExpectShutsDown(GatewayStart* gateway, const std::string& story) {
  gateway->Signal(SIGTERM);
  EXPECT_EQ(gateway->AwaitExit(), 0) << story;
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

// Threads and processes, other ways to wait than the event loop's, and channels beside TCP and UDP over IPv4.
// Calls of which only some wait are told apart by their arguments. Not among them: reads, writes and
// connects, which wait where a descriptor is blocking (GatewayWaits).
SystemCallFilter OutsideTheEventLoop(uint32_t action) {
  SystemCallFilter filter;
  for (long number : {SYS_clone, SYS_clone3, SYS_unshare, SYS_execveat}) filter.Add(number, action);
  for (long number : {SYS_io_uring_setup, SYS_io_uring_enter, SYS_io_uring_register, SYS_sendfile}) {
    filter.Add(number, action);
  }
  for (long number : {SYS_nanosleep, SYS_clock_nanosleep, SYS_pselect6, SYS_ppoll, SYS_rt_sigsuspend,
                      SYS_rt_sigtimedwait, SYS_wait4, SYS_waitid, SYS_flock, SYS_semtimedop, SYS_msgrcv,
                      SYS_mq_timedreceive, SYS_recvmmsg, SYS_setitimer, SYS_timer_create, SYS_sched_yield}) {
    filter.Add(number, action);
  }
#ifdef SYS_fork  // older ways, which newer architectures lack
  for (long number : {SYS_fork, SYS_vfork, SYS_select, SYS_pause, SYS_alarm}) filter.Add(number, action);
  filter.AddIf(SYS_poll, 2, kAllBits, 0, kAllow);
  filter.Add(SYS_poll, action);
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

// The filter is read in the new process: it outlives the start.
GatewayStartOptions Under(const SystemCallFilter& filter, const char* program = API_GATEWAY) {
  GatewayStartOptions options;
  options.program = program;
  options.before_program = [&filter] {
    if (!filter.Install()) _exit(126);
  };
  return options;
}

void ExpectServesUnder(const SystemCallFilter& filter) {
  Surroundings surroundings;
  GatewayStart gateway(surroundings.path(), Under(filter));
  ExpectServes(gateway, "under the filter");
  ExpectShutsDown(&gateway, "under the filter");
}

SystemCallFilter KillsOutsideTheEventLoop() {
  SystemCallFilter filter = OutsideTheEventLoop(kKill);
  filter.Add(SYS_splice, kKill);
  filter.AddForAllOthers(kAllow);
  return filter;
}

// A simulator that leads the process's clocks, sockets and waits knows the event loop's wait and no other. A
// call of this kind ends the process by SIGSYS; `strace -f` of the program shows which it was.
TEST(GatewayStart, MakesNoSystemCallThatWaitsOutsideTheEventLoop) {
  ExpectServesUnder(KillsOutsideTheEventLoop());
}

// The check above finds such a call: this program sleeps before its exit.
TEST(GatewayStart, EndsAProgramThatSleepsUnderTheFilter) {
  Surroundings surroundings;
  SystemCallFilter filter = KillsOutsideTheEventLoop();
  GatewayStart gateway(surroundings.path(), Under(filter, API_GATEWAY_SLOW_EXIT));
  ExpectServes(gateway, "a slow exit");
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.AwaitExit(), -SIGSYS);
}

// The operators' system refuses these calls: what a library tries at its start must not need them.
TEST(GatewayStart, LivesWhereThreadsAndProcessesAreRefused) {
  SystemCallFilter filter = OutsideTheEventLoop(FailsWith(ENOSYS));
  filter.Add(SYS_splice, FailsWith(EINVAL));
  filter.AddForAllOthers(kAllow);
  ExpectServesUnder(filter);
}

// The log -------------------------------------------------------------------------------------------------

// The standard error of a gateway, which nobody reads.
struct UnreadLog {
  const char* name;
  int writer;
  int reader;  // held open; -1 where there is none
};

void FillUp(int descriptor) {
  int flags = fcntl(descriptor, F_GETFL);
  fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  const std::string line = std::string(99, 'x') + "\n";
  while (write(descriptor, line.data(), line.size()) > 0) {
  }
  while (write(descriptor, "\n", 1) > 0) {
  }
  fcntl(descriptor, F_SETFL, flags);
}

UnreadLog PipeLog(const char* name, int bytes, bool full) {
  int ends[2];
  EXPECT_EQ(pipe(ends), 0);
  EXPECT_GT(fcntl(ends[1], F_SETPIPE_SZ, bytes), 0);
  if (full) FillUp(ends[1]);
  return {name, ends[1], ends[0]};
}

UnreadLog ClosedPipeLog() {
  UnreadLog log = PipeLog("a pipe whose reader has gone", 1, false);
  close(std::exchange(log.reader, -1));
  return log;
}

UnreadLog TerminalLog(const char* name, bool full) {
  int reader = posix_openpt(O_RDWR | O_NOCTTY);
  EXPECT_EQ(grantpt(reader), 0);
  EXPECT_EQ(unlockpt(reader), 0);
  int writer = open(ptsname(reader), O_RDWR | O_NOCTTY);
  EXPECT_GE(writer, 0);
  if (full) FillUp(writer);
  return {name, writer, reader};
}

UnreadLog FileLog(const TemporaryFile& file) {
  return {"a file", open(file.path().c_str(), O_WRONLY | O_APPEND), -1};
}

// The log is full, or its reader gone, before the gateway's first line. A start that waited for its log would
// never listen; one that took the error for its own would end.
TEST(GatewayStart, ComesUpWhateverItsLogIs) {
  Surroundings surroundings;
  TemporaryFile file("");
  std::vector<UnreadLog> logs = {PipeLog("an empty pipe of a page", 1, false),
                                 PipeLog("a full pipe of a page", 1, true),
                                 PipeLog("a full pipe", 65536, true),
                                 ClosedPipeLog(),
                                 TerminalLog("a terminal", false),
                                 TerminalLog("a full terminal", true),
                                 FileLog(file)};
  std::vector<std::unique_ptr<GatewayStart>> gateways;
  for (const UnreadLog& log : logs) {
    GatewayStartOptions options;
    options.standard_error = log.writer;
    gateways.push_back(std::make_unique<GatewayStart>(surroundings.path(), options));
  }
  for (size_t i = 0; i < logs.size(); ++i) ExpectServes(*gateways[i], logs[i].name);
  for (size_t i = 0; i < logs.size(); ++i) ExpectShutsDown(gateways[i].get(), logs[i].name);
  for (const UnreadLog& log : logs) {
    close(log.writer);
    if (log.reader >= 0) close(log.reader);
  }
}

// Signals ------------------------------------------------------------------------------------------------

// Starts gateways, each of which gets the signal in another system call between the one that sets its handler
// and the event loop's first wait.
std::vector<std::unique_ptr<GatewayStart>> StartWithSignalAtEachCall(const Surroundings& surroundings,
                                                                     int signal) {
  constexpr int kMoreCallsThanAStartMakes = 500;
  std::vector<std::unique_ptr<GatewayStart>> gateways;
  GatewayStartOptions options;
  options.before_program = [] {
    if (!AskToBeTraced()) _exit(126);
  };
  bool reached_event_loop = false;
  while (!reached_event_loop && gateways.size() < kMoreCallsThanAStartMakes) {
    gateways.push_back(std::make_unique<GatewayStart>(surroundings.path(), options));
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
    EXPECT_GE(call.number, 0) << "ended within its start";
    process.Release(signal);
  }
  EXPECT_TRUE(reached_event_loop);
  return gateways;
}

// A supervisor ends a gateway that it has just started. Whichever call of the start that meets, the process
// ends by its own status.
TEST(GatewayStart, ShutsDownWheneverTheSignalCame) {
  Surroundings surroundings;
  auto gateways = StartWithSignalAtEachCall(surroundings, SIGTERM);
  for (size_t i = 0; i < gateways.size(); ++i) {
    EXPECT_EQ(gateways[i]->AwaitExit(), 0) << "in call " << i + 1 << " after the handler was set";
  }
}

// SIGHUP, as at a new configuration, while the gateway starts: it comes up and serves.
TEST(GatewayStart, ComesUpWheneverAReloadCame) {
  Surroundings surroundings;
  auto gateways = StartWithSignalAtEachCall(surroundings, SIGHUP);
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
  explicit GatewayWithControlledClock(const std::string& configuration_path) : path(configuration_path) {
    options.environment = {std::string("LD_PRELOAD=") + CONTROLLED_CLOCK,
                           std::string(kControlledClockVariable) + "=" + file.path()};
  }
  ~GatewayWithControlledClock() {
    gateway.reset();
    munmap(clock, sizeof(*clock));
  }
  GatewayWithControlledClock(const GatewayWithControlledClock&) = delete;
  GatewayWithControlledClock& operator=(const GatewayWithControlledClock&) = delete;
  void Start() { gateway = std::make_unique<GatewayStart>(path, options); }

  const std::string path;
  TemporaryFile file{""};
  ControlledClock* clock = MapControlledClock(file.path().c_str());
  GatewayStartOptions options;
  std::unique_ptr<GatewayStart> gateway;
};

// The event loop's waits end by the system's clock, while the process's own stands still, as a simulator may
// let it do. The process goes on to wait in its event loop, does not turn without end, and serves what comes.
TEST(GatewayStart, WaitsWhileItsClockStandsStill) {
  constexpr auto kObserved = std::chrono::milliseconds(300);
  constexpr int64_t kFewTurns =
      300;  // some 20 a second were measured; a loop that never waits makes thousands
  Surroundings surroundings;
  surroundings.discovery.SetSilent(true);  // a time-out and a wake-up wait for the clock
  GatewayWithControlledClock process(surroundings.path());
  ASSERT_NE(process.clock, nullptr);
  process.clock->frozen = true;
  process.Start();
  std::unique_ptr<TestConnection> client = process.gateway->Connect();
  ASSERT_NE(client, nullptr);
  EXPECT_EQ(Exchange(*client, MakeRequest("quote")).status(), 200);
  EXPECT_GT(process.clock->monotonic_readings, 0);  // the clock is the one that stands still
  int64_t turns_before = process.clock->event_loop_waits;
  EXPECT_GT(turns_before, 0);
  std::this_thread::sleep_for(kObserved);
  EXPECT_LT(process.clock->event_loop_waits - turns_before, kFewTurns);
  EXPECT_EQ(process.clock->other_timed_waits, 0);
  EXPECT_EQ(Exchange(*client, MakeRequest("quote")).status(), 200);
}

}  // namespace
}  // namespace gateway::net
