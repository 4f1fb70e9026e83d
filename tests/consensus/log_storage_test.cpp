#include "consensus/log_storage.hpp"

#include <catch2/catch.hpp>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace bergamotusher;
using namespace bergamotusher::consensus;

namespace
{

struct folder
{
    folder()
    {
        path = std::filesystem::temp_directory_path().string() +
               "/bergamotusher-XXXXXX";
        REQUIRE(::mkdtemp(path.data()) != nullptr);
    }
    ~folder()
    {
        std::filesystem::remove_all(path);
    }
    folder(const folder&) = delete;
    folder& operator=(const folder&) = delete;

    std::string path;
};

storage_options options_in(const folder& in)
{
    storage_options options;
    options.folder = in.path + "/data";
    options.node = {"n1"};
    options.new_storage_id = 77;
    return options;
}

opened_storage opened(const storage_options& options)
{
    auto result = open_storage(options);
    if (const auto* bad = std::get_if<failure>(&result))
        FAIL(bad->detail);
    return std::get<opened_storage>(std::move(result));
}

error_kind open_error(const storage_options& options)
{
    auto result = open_storage(options);
    REQUIRE(std::holds_alternative<failure>(result));
    return std::get<failure>(result).kind;
}

entry command(log_index index, term_number term = 1)
{
    entry made;
    made.term = term;
    made.index = index;
    made.command = "command " + std::to_string(index);
    return made;
}

storage_write entries(log_index first, log_index last, term_number term = 1)
{
    persist write;
    write.hard = {term, {"n1"}, true};
    for (log_index i = first; i <= last; ++i)
        write.entries.push_back(command(i, term));
    return write;
}

storage_write snapshot_at(log_index index, term_number term, bool reset)
{
    auto value = std::make_shared<snapshot>();
    value->index = index;
    value->term = term;
    value->members.voters = {{"n1"}};
    value->data = std::make_shared<const std::string>("state");
    return persist_snapshot{0, value, index, reset};
}

/// The path of the segment that is written to.
std::string segment_of(const opened_storage& in)
{
    return in.storage.path;
}

void damage(const std::string& path, std::size_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const char byte = static_cast<char>(file.get() ^ 1);
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(byte);
}

/// Files whose operation number `fail_at` and all later ones fail; a write
/// that fails leaves half of its bytes.
struct failing_files
{
    int fail_at = 0;
    int error = EIO;
    int operations = 0;
    int syncs = 0;

    bool fails()
    {
        return ++operations >= fail_at && fail_at > 0;
    }
};

file_functions files_of(failing_files& faults)
{
    const file_functions real = system_files();
    file_functions files = real;
    files.write = [&faults, real](int file, const std::string& bytes)
    {
        if (!faults.fails())
            return real.write(file, bytes);
        real.write(file, bytes.substr(0, bytes.size() / 2));
        return faults.error;
    };
    files.sync = [&faults, real](int file)
    {
        ++faults.syncs;
        return faults.fails() ? faults.error : real.sync(file);
    };
    files.rename =
        [&faults, real](const std::string& from, const std::string& to)
    {
        return faults.fails() ? faults.error : real.rename(from, to);
    };
    files.sync_folder = [&faults, real](const std::string& path)
    {
        return faults.fails() ? faults.error : real.sync_folder(path);
    };
    files.remove = [&faults, real](const std::string& path)
    {
        return faults.fails() ? faults.error : real.remove(path);
    };
    return files;
}

/// Stores entries, a snapshot in their middle and more entries; the index up
/// to which it was told that they are stored.
log_index run_script(const storage_options& options)
{
    auto result = open_storage(options);
    auto* in = std::get_if<opened_storage>(&result);
    if (in == nullptr)
        return 0;
    log_index stored = 0;
    for (log_index first = 1; first <= 16; first += 4)
    {
        std::vector<storage_write> batch{
            entries(first, first + 1), entries(first + 2, first + 3)};
        if (first == 9)
            batch.push_back(snapshot_at(6, 1, false));
        if (!store(in->storage, batch))
            stored = first + 3;
    }
    close_storage(in->storage);
    return stored;
}

} // namespace

TEST_CASE("what was stored is found again")
{
    const folder in;
    const storage_options options = options_in(in);
    opened_storage first = opened(options);
    CHECK(first.storage.storage_id == 77);
    REQUIRE_FALSE(store(first.storage, {entries(1, 5), entries(6, 8)}));
    CHECK(first.storage.syncs == 1);

    SECTION("entries and hard state")
    {
        close_storage(first.storage);
        const opened_storage again = opened(options);
        CHECK(again.state.entries.size() == 8);
        CHECK(again.state.entries[7] == command(8));
        CHECK(again.state.hard == hard_state{1, {"n1"}, true});
        CHECK(again.storage.storage_id == 77);
    }
    SECTION("an entry replaces those at its index and above")
    {
        REQUIRE_FALSE(store(first.storage, {entries(4, 5, 2)}));
        close_storage(first.storage);
        const opened_storage again = opened(options);
        CHECK(again.state.entries.size() == 5);
        CHECK(again.state.entries[3] == command(4, 2));
    }
    SECTION("a snapshot, and the entries above it")
    {
        REQUIRE_FALSE(store(first.storage, {snapshot_at(6, 1, false)}));
        close_storage(first.storage);
        const opened_storage again = opened(options);
        CHECK(again.state.base.index == 6);
        CHECK(*again.state.base.data == "state");
        REQUIRE(again.state.entries.size() == 2);
        CHECK(again.state.entries[0] == command(7));
    }
    SECTION("a snapshot that conflicts with the log replaces all of it")
    {
        REQUIRE_FALSE(store(first.storage, {snapshot_at(6, 3, true)}));
        close_storage(first.storage);
        const opened_storage again = opened(options);
        CHECK(again.state.base.index == 6);
        CHECK(again.state.entries.empty());
    }
}

TEST_CASE("a torn tail is cut, wherever it was torn")
{
    const folder in;
    const storage_options options = options_in(in);
    opened_storage first = opened(options);
    REQUIRE_FALSE(store(first.storage, {entries(1, 2)}));
    const std::string path = segment_of(first);
    const auto whole = std::filesystem::file_size(path);
    REQUIRE_FALSE(store(first.storage, {entries(3, 3)}));
    const auto torn = std::filesystem::file_size(path);
    close_storage(first.storage);
    const folder copy;
    for (auto size = whole; size < torn; ++size)
    {
        const storage_options other = options_in(copy);
        std::filesystem::remove_all(other.folder);
        std::filesystem::copy(options.folder, other.folder);
        const std::string name = path.substr(path.rfind('/'));
        std::filesystem::resize_file(other.folder + name, size);
        opened_storage again = opened(other);
        CHECK(again.state.entries.size() == 2);
        CHECK(again.cut_bytes == size - whole);
        close_storage(again.storage);
    }
}

TEST_CASE("a bad record in the middle stops the replica")
{
    const folder in;
    const storage_options options = options_in(in);
    opened_storage first = opened(options);
    const auto start = std::filesystem::file_size(segment_of(first));
    REQUIRE_FALSE(store(first.storage, {entries(1, 2)}));
    const auto end = std::filesystem::file_size(segment_of(first));
    REQUIRE_FALSE(store(first.storage, {entries(3, 3)}));
    close_storage(first.storage);

    SECTION("whichever of its bytes is damaged")
    {
        for (auto at = start; at < end; ++at)
        {
            damage(segment_of(first), at);
            CHECK(open_error(options) == error_kind::storage_corrupt);
            damage(segment_of(first), at);
        }
    }
    SECTION("and it rejoins with an empty folder once that is set aside")
    {
        damage(segment_of(first), start + 20);
        storage_options fresh = options;
        fresh.new_storage_id = 78;
        REQUIRE_FALSE(set_aside(fresh));
        const opened_storage again = opened(fresh);
        CHECK(again.state.entries.empty());
        CHECK(again.storage.storage_id == 78);
        CHECK_FALSE(again.state.hard.admitted);
    }
}

TEST_CASE("a damaged snapshot or identity is recognised")
{
    const folder in;
    const storage_options options = options_in(in);
    opened_storage first = opened(options);
    REQUIRE_FALSE(
        store(first.storage, {entries(1, 4), snapshot_at(3, 1, false)}));
    close_storage(first.storage);
    const std::string name =
        GENERATE(std::string("snapshot"), std::string("identity"));
    damage(options.folder + "/" + name, 12);
    CHECK(open_error(options) == error_kind::storage_corrupt);
}

TEST_CASE("a folder that is not this node's is refused")
{
    const folder in;
    const storage_options options = options_in(in);
    opened_storage first = opened(options);
    storage_options other = options;

    SECTION("another node's")
    {
        close_storage(first.storage);
        other.node = {"n2"};
        CHECK(open_error(other) == error_kind::wrong_data_folder);
    }
    SECTION("another cluster's")
    {
        close_storage(first.storage);
        other.cluster = "elsewhere";
        CHECK(open_error(other) == error_kind::wrong_data_folder);
    }
    SECTION("one that a process still has open")
    {
        CHECK(open_error(other) == error_kind::wrong_data_folder);
    }
    SECTION("one that lost its identity")
    {
        close_storage(first.storage);
        std::filesystem::remove(options.folder + "/identity");
        CHECK(open_error(other) == error_kind::storage_corrupt);
    }
}

TEST_CASE("after a failed write or sync nothing is acknowledged any more")
{
    const folder in;
    failing_files faults;
    storage_options options = options_in(in);
    options.files = files_of(faults);
    opened_storage first = opened(options);
    REQUIRE_FALSE(store(first.storage, {entries(1, 1)}));

    SECTION("a failed sync is not tried again")
    {
        faults.fail_at = faults.operations + 2;
        const int syncs = faults.syncs;
        const auto failed = store(first.storage, {entries(2, 2)});
        REQUIRE(failed);
        CHECK(failed->kind == error_kind::storage_failed);
        faults.fail_at = 0;
        CHECK(store(first.storage, {entries(2, 2)}));
        CHECK(faults.syncs == syncs + 1);
    }
    SECTION("a full disk says so")
    {
        faults.error = ENOSPC;
        faults.fail_at = faults.operations + 1;
        const auto failed = store(first.storage, {entries(2, 2)});
        REQUIRE(failed);
        CHECK(failed->kind == error_kind::storage_full);
    }
    close_storage(first.storage);
}

TEST_CASE("opening rests on no earlier sync: it writes the log anew")
{
    const folder in;
    failing_files faults;
    storage_options options = options_in(in);
    options.files = files_of(faults);
    opened_storage first = opened(options);
    REQUIRE_FALSE(store(first.storage, {entries(1, 3)}));
    const std::string before = segment_of(first);
    close_storage(first.storage);
    const opened_storage again = opened(options);
    CHECK(segment_of(again) != before);
    CHECK_FALSE(std::filesystem::exists(before));
    faults.fail_at = faults.operations + 1;
    const storage_options broken = options;
    close_storage(const_cast<log_storage&>(again.storage));
    CHECK(open_error(broken) == error_kind::storage_failed);
}

TEST_CASE("a failure at any operation loses nothing that was acknowledged")
{
    int operations = 0;
    {
        const folder in;
        failing_files faults;
        storage_options options = options_in(in);
        options.segment_bytes = 300;
        options.files = files_of(faults);
        REQUIRE(run_script(options) == 16);
        operations = faults.operations;
    }
    for (int fail_at = 1; fail_at <= operations; ++fail_at)
    {
        const folder in;
        failing_files faults;
        faults.fail_at = fail_at;
        storage_options options = options_in(in);
        options.segment_bytes = 300;
        options.files = files_of(faults);
        const log_index stored = run_script(options);
        options.files = system_files();
        opened_storage again = opened(options);
        const auto& state = again.state;
        CHECK(state.base.index + state.entries.size() >= stored);
        for (std::size_t i = 0; i < state.entries.size(); ++i)
            CHECK(state.entries[i] == command(state.base.index + i + 1));
        close_storage(again.storage);
    }
}

TEST_CASE("a log of 1,000 changes opens in under a second")
{
    const folder in;
    const storage_options options = options_in(in);
    opened_storage first = opened(options);
    for (log_index i = 1; i <= 1000; ++i)
        REQUIRE_FALSE(store(first.storage, {entries(i, i)}));
    close_storage(first.storage);
    const auto began = std::chrono::steady_clock::now();
    const opened_storage again = opened(options);
    CHECK(again.state.entries.size() == 1000);
    CHECK(std::chrono::steady_clock::now() - began < 1s);
}
