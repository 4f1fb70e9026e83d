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

/// A temporary folder that is removed at the end.
struct temporary_folder
{
    temporary_folder()
    {
        path = std::filesystem::temp_directory_path().string() +
               "/bergamotusher-XXXXXX";
        REQUIRE(::mkdtemp(path.data()) != nullptr);
    }
    ~temporary_folder()
    {
        std::filesystem::remove_all(path);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::string path;
};

storage_options options_in(const temporary_folder& folder)
{
    storage_options options;
    options.folder = folder.path + "/data";
    options.node = {"n1"};
    options.new_storage_id = 77;
    return options;
}

opened_storage open_or_fail(const storage_options& options)
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

entry command_entry(log_index index, term_number term = 1)
{
    entry made;
    made.term = term;
    made.index = index;
    made.command = "command " + std::to_string(index);
    return made;
}

storage_write
entries_write(log_index first, log_index last, term_number term = 1)
{
    persist write;
    write.hard = {term, {"n1"}, true};
    for (log_index i = first; i <= last; ++i)
        write.entries.push_back(command_entry(i, term));
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

/// The path of the active segment.
std::string active_segment(const opened_storage& in)
{
    return in.storage.path;
}

/// Flips a bit of the byte at `offset`; a second call restores it.
void flip_bit(const std::string& path, std::size_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const char byte = static_cast<char>(file.get() ^ 1);
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(byte);
}

/// Counts file operations. Operation number `fail_at` and all later ones fail,
/// none if it is 0; a failing write leaves half of its bytes.
struct injected_faults
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

/// The file functions of the system, made to fail as `faults` says.
file_functions with_faults(injected_faults& faults)
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

/// Stores entries in batches, one of them with a snapshot. Returns the last
/// index that was reported as stored.
log_index store_batches(const storage_options& options)
{
    auto result = open_storage(options);
    auto* in = std::get_if<opened_storage>(&result);
    if (in == nullptr)
        return 0;
    log_index stored = 0;
    for (log_index first = 1; first <= 16; first += 4)
    {
        std::vector<storage_write> batch{
            entries_write(first, first + 1),
            entries_write(first + 2, first + 3)};
        if (first == 9)
            batch.push_back(snapshot_at(6, 1, false));
        if (!store(in->storage, batch))
            stored = first + 3;
    }
    close_storage(in->storage);
    return stored;
}

} // namespace

TEST_CASE("recovers the stored state after reopening")
{
    const temporary_folder folder;
    const storage_options options = options_in(folder);
    opened_storage first = open_or_fail(options);
    CHECK(first.storage.storage_id == 77);
    REQUIRE_FALSE(
        store(first.storage, {entries_write(1, 5), entries_write(6, 8)}));
    CHECK(first.storage.syncs == 1);

    SECTION("recovers entries, hard state and storage id")
    {
        close_storage(first.storage);
        const opened_storage reopened = open_or_fail(options);
        CHECK(reopened.state.entries.size() == 8);
        CHECK(reopened.state.entries[7] == command_entry(8));
        CHECK(reopened.state.hard == hard_state{1, {"n1"}, true});
        CHECK(reopened.storage.storage_id == 77);
    }
    SECTION("an entry replaces all stored entries from its index on")
    {
        REQUIRE_FALSE(store(first.storage, {entries_write(4, 5, 2)}));
        close_storage(first.storage);
        const opened_storage reopened = open_or_fail(options);
        CHECK(reopened.state.entries.size() == 5);
        CHECK(reopened.state.entries[3] == command_entry(4, 2));
    }
    SECTION("recovers a snapshot and the entries above it")
    {
        REQUIRE_FALSE(store(first.storage, {snapshot_at(6, 1, false)}));
        close_storage(first.storage);
        const opened_storage reopened = open_or_fail(options);
        CHECK(reopened.state.base.index == 6);
        CHECK(*reopened.state.base.data == "state");
        REQUIRE(reopened.state.entries.size() == 2);
        CHECK(reopened.state.entries[0] == command_entry(7));
    }
    SECTION("a snapshot that conflicts with the log replaces the whole log")
    {
        REQUIRE_FALSE(store(first.storage, {snapshot_at(6, 3, true)}));
        close_storage(first.storage);
        const opened_storage reopened = open_or_fail(options);
        CHECK(reopened.state.base.index == 6);
        CHECK(reopened.state.entries.empty());
    }
}

TEST_CASE("discards a torn tail at any length")
{
    const temporary_folder folder;
    const storage_options options = options_in(folder);
    opened_storage first = open_or_fail(options);
    REQUIRE_FALSE(store(first.storage, {entries_write(1, 2)}));
    const std::string path = active_segment(first);
    const auto whole = std::filesystem::file_size(path);
    REQUIRE_FALSE(store(first.storage, {entries_write(3, 3)}));
    const auto torn = std::filesystem::file_size(path);
    close_storage(first.storage);
    const temporary_folder copy;
    for (auto size = whole; size < torn; ++size)
    {
        const storage_options other = options_in(copy);
        std::filesystem::remove_all(other.folder);
        std::filesystem::copy(options.folder, other.folder);
        const std::string name = path.substr(path.rfind('/'));
        std::filesystem::resize_file(other.folder + name, size);
        opened_storage reopened = open_or_fail(other);
        CHECK(reopened.state.entries.size() == 2);
        CHECK(reopened.truncated_bytes == size - whole);
        close_storage(reopened.storage);
    }
}

TEST_CASE("reports corruption for a damaged record that was synced")
{
    const temporary_folder folder;
    const storage_options options = options_in(folder);
    opened_storage first = open_or_fail(options);
    const auto start = std::filesystem::file_size(active_segment(first));
    REQUIRE_FALSE(store(first.storage, {entries_write(1, 2)}));
    const auto end = std::filesystem::file_size(active_segment(first));
    REQUIRE_FALSE(store(first.storage, {entries_write(3, 3)}));
    close_storage(first.storage);

    SECTION("whichever byte of the record is damaged")
    {
        for (auto offset = start; offset < end; ++offset)
        {
            flip_bit(active_segment(first), offset);
            CHECK(open_error(options) == error_kind::storage_corrupt);
            flip_bit(active_segment(first), offset);
        }
    }
    SECTION("opens empty with a new storage id once the files are set aside")
    {
        flip_bit(active_segment(first), start + 20);
        storage_options fresh = options;
        fresh.new_storage_id = 78;
        REQUIRE_FALSE(rename_damaged_files(fresh));
        const opened_storage reopened = open_or_fail(fresh);
        CHECK(reopened.state.entries.empty());
        CHECK(reopened.storage.storage_id == 78);
        CHECK_FALSE(reopened.state.hard.admitted);
    }
}

TEST_CASE("reports corruption for a damaged snapshot or identity")
{
    const temporary_folder folder;
    const storage_options options = options_in(folder);
    opened_storage first = open_or_fail(options);
    REQUIRE_FALSE(
        store(first.storage, {entries_write(1, 4), snapshot_at(3, 1, false)}));
    close_storage(first.storage);
    const std::string name =
        GENERATE(std::string("snapshot"), std::string("identity"));
    flip_bit(options.folder + "/" + name, 12);
    CHECK(open_error(options) == error_kind::storage_corrupt);
}

TEST_CASE("refuses a data folder that this node must not use")
{
    const temporary_folder folder;
    const storage_options options = options_in(folder);
    opened_storage first = open_or_fail(options);
    storage_options other = options;

    SECTION("a folder of another node")
    {
        close_storage(first.storage);
        other.node = {"n2"};
        CHECK(open_error(other) == error_kind::wrong_data_folder);
    }
    SECTION("a folder of another cluster")
    {
        close_storage(first.storage);
        other.cluster = "elsewhere";
        CHECK(open_error(other) == error_kind::wrong_data_folder);
    }
    SECTION("a folder that is still open elsewhere")
    {
        CHECK(open_error(other) == error_kind::wrong_data_folder);
    }
    SECTION("a folder that has lost its identity file")
    {
        close_storage(first.storage);
        std::filesystem::remove(options.folder + "/identity");
        CHECK(open_error(other) == error_kind::storage_corrupt);
    }
}

TEST_CASE("acknowledges nothing after a failed write or sync")
{
    const temporary_folder folder;
    injected_faults faults;
    storage_options options = options_in(folder);
    options.files = with_faults(faults);
    opened_storage first = open_or_fail(options);
    REQUIRE_FALSE(store(first.storage, {entries_write(1, 1)}));

    SECTION("a failed sync is not retried")
    {
        faults.fail_at = faults.operations + 2;
        const int syncs = faults.syncs;
        const auto failed = store(first.storage, {entries_write(2, 2)});
        REQUIRE(failed);
        CHECK(failed->kind == error_kind::storage_failed);
        faults.fail_at = 0;
        CHECK(store(first.storage, {entries_write(2, 2)}));
        CHECK(faults.syncs == syncs + 1);
    }
    SECTION("a full disk is reported as storage_full")
    {
        faults.error = ENOSPC;
        faults.fail_at = faults.operations + 1;
        const auto failed = store(first.storage, {entries_write(2, 2)});
        REQUIRE(failed);
        CHECK(failed->kind == error_kind::storage_full);
    }
    close_storage(first.storage);
}

TEST_CASE("opening rewrites the log and relies on no earlier sync")
{
    const temporary_folder folder;
    injected_faults faults;
    storage_options options = options_in(folder);
    options.files = with_faults(faults);
    opened_storage first = open_or_fail(options);
    REQUIRE_FALSE(store(first.storage, {entries_write(1, 3)}));
    const std::string before = active_segment(first);
    close_storage(first.storage);
    const opened_storage reopened = open_or_fail(options);
    CHECK(active_segment(reopened) != before);
    CHECK_FALSE(std::filesystem::exists(before));
    faults.fail_at = faults.operations + 1;
    const storage_options broken = options;
    close_storage(const_cast<log_storage&>(reopened.storage));
    CHECK(open_error(broken) == error_kind::storage_failed);
}

TEST_CASE("a failure of any file operation loses no acknowledged entry")
{
    int operations = 0;
    {
        const temporary_folder folder;
        injected_faults faults;
        storage_options options = options_in(folder);
        options.segment_bytes = 300;
        options.files = with_faults(faults);
        REQUIRE(store_batches(options) == 16);
        operations = faults.operations;
    }
    for (int fail_at = 1; fail_at <= operations; ++fail_at)
    {
        const temporary_folder folder;
        injected_faults faults;
        faults.fail_at = fail_at;
        storage_options options = options_in(folder);
        options.segment_bytes = 300;
        options.files = with_faults(faults);
        const log_index stored = store_batches(options);
        options.files = system_files();
        opened_storage reopened = open_or_fail(options);
        const auto& state = reopened.state;
        CHECK(state.base.index + state.entries.size() >= stored);
        for (std::size_t i = 0; i < state.entries.size(); ++i)
            CHECK(state.entries[i] == command_entry(state.base.index + i + 1));
        close_storage(reopened.storage);
    }
}

TEST_CASE("opens a log of 1,000 entries in under one second")
{
    const temporary_folder folder;
    const storage_options options = options_in(folder);
    opened_storage first = open_or_fail(options);
    for (log_index i = 1; i <= 1000; ++i)
        REQUIRE_FALSE(store(first.storage, {entries_write(i, i)}));
    close_storage(first.storage);
    const auto began = std::chrono::steady_clock::now();
    const opened_storage reopened = open_or_fail(options);
    CHECK(reopened.state.entries.size() == 1000);
    CHECK(std::chrono::steady_clock::now() - began < 1s);
}

TEST_CASE("opening a log of large entries holds a small part of it twice")
{
    constexpr std::size_t entry_bytes = std::size_t{100} * 1024;
    constexpr log_index last = 60;
    const temporary_folder folder;
    storage_options options = options_in(folder);
    opened_storage first = open_or_fail(options);
    for (log_index i = 1; i <= last; ++i)
    {
        persist write;
        write.hard = {1, {"n1"}, true};
        write.entries.push_back(command_entry(i));
        write.entries.back().command.resize(entry_bytes, 'x');
        REQUIRE_FALSE(store(first.storage, {storage_write(write)}));
    }
    close_storage(first.storage);
    std::size_t largest_write = 0;
    const auto write = options.files.write;
    options.files.write = [&](int file, const std::string& bytes)
    {
        largest_write = std::max(largest_write, bytes.size());
        return write(file, bytes);
    };
    opened_storage reopened = open_or_fail(options);
    CHECK(largest_write < 5 * entry_bytes);
    REQUIRE(reopened.state.entries.size() == last);
    close_storage(reopened.storage);

    SECTION("and what was written in parts is read as a whole")
    {
        const opened_storage again = open_or_fail(options);
        REQUIRE(again.state.entries.size() == last);
        for (log_index i = 1; i <= last; ++i)
            CHECK(again.state.entries[i - 1].command.size() == entry_bytes);
    }
}
