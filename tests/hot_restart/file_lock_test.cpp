// Which holders of a file lock exclude each other, and what releases a lock.
#include "hot_restart/file_lock.h"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <thread>

#include "support/temporary_folder.h"

using wingproxy::hot_restart::FileLock;
using wingproxy::test::TemporaryFolder;

namespace {

struct LockFile {
    TemporaryFolder folder;
    std::string path = folder.file("lock");
};

}  // namespace

TEST_CASE("file lock: one holder excludes another until it releases the lock") {
    LockFile file;
    FileLock first(file.path);
    FileLock second(file.path);
    CHECK(first.tryAcquire());
    CHECK(first.held());
    CHECK(!second.tryAcquire());
    CHECK(!second.held());
    first.release();
    CHECK(!first.held());
    CHECK(second.tryAcquire());
}

TEST_CASE("file lock: acquiring it again is no error") {
    LockFile file;
    FileLock lock(file.path);
    CHECK(lock.tryAcquire());
    CHECK(lock.tryAcquire());
}

TEST_CASE("file lock: shared holders exclude an exclusive one, and not each other") {
    LockFile file;
    FileLock reader(file.path);
    FileLock otherReader(file.path);
    FileLock writer(file.path);
    CHECK(reader.tryAcquire(FileLock::Mode::Shared));
    CHECK(otherReader.tryAcquire(FileLock::Mode::Shared));
    CHECK(!writer.tryAcquire());
    reader.release();
    CHECK(!writer.tryAcquire());
    otherReader.release();
    CHECK(writer.tryAcquire());
    CHECK(!reader.tryAcquire(FileLock::Mode::Shared));
}

TEST_CASE("file lock: the destructor releases it") {
    LockFile file;
    FileLock next(file.path);
    {
        FileLock lock(file.path);
        CHECK(lock.tryAcquire());
        CHECK(!next.tryAcquire());
    }
    CHECK(next.tryAcquire());
}

TEST_CASE("file lock: acquire blocks until the holder releases it") {
    LockFile file;
    FileLock holder(file.path);
    REQUIRE(holder.tryAcquire());
    std::thread releasing([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        holder.release();
    });
    FileLock waiting(file.path);
    waiting.acquire();
    CHECK(waiting.held());
    releasing.join();
}

TEST_CASE("file lock: killing the process that holds it releases it") {
    LockFile file;
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        FileLock lock(file.path);
        lock.acquire();
        std::raise(SIGKILL);
    }
    REQUIRE(waitpid(child, nullptr, 0) == child);
    CHECK(std::filesystem::exists(file.path));
    FileLock lock(file.path);
    CHECK(lock.tryAcquire());
}

TEST_CASE("file lock: if the file cannot be created the lock is not held, and acquire does not block") {
    TemporaryFolder folder;
    FileLock lock(folder.file("missing/lock"));
    CHECK(!lock.tryAcquire());
    lock.acquire();
    CHECK(!lock.held());
}
