#include "tier/storage/environment.h"

#include <algorithm>
#include <utility>

#include "tier/storage/lmdb_status.h"
#include "tier/storage/truncation_check.h"

namespace pearreach::storage {
namespace {

constexpr mdb_mode_t kFileMode = 0600;
constexpr MDB_dbi kTableCount = 2;
constexpr const char* kMetadataTable = "about";
constexpr const char* kDataTable = "data";
constexpr std::string_view kDiskIdKey = "disk_id";

// NOMETASYNC: the sync that follows each commit covers the page with the new root too, without
// relying on a descriptor opened with O_DSYNC.
constexpr unsigned kFlags = MDB_NOSUBDIR | MDB_NOLOCK | MDB_NOTLS | MDB_NORDAHEAD | MDB_NOMETASYNC;

MDB_val ValueOf(std::string_view text) { return {text.size(), const_cast<char*>(text.data())}; }

std::string_view TextOf(const MDB_val& value) {
  return {static_cast<const char*>(value.mv_data), value.mv_size};
}

struct CursorCloser {
  void operator()(MDB_cursor* cursor) const { mdb_cursor_close(cursor); }
};
using Cursor = std::unique_ptr<MDB_cursor, CursorCloser>;

absl::Status Apply(MDB_txn* transaction, MDB_dbi table, const Write& write) {
  MDB_val key = ValueOf(write.key);
  if (write.erase) {
    const int code = mdb_del(transaction, table, &key, nullptr);
    return code == MDB_NOTFOUND ? absl::OkStatus() : LmdbStatus(code, "erase");
  }
  MDB_val value = ValueOf(write.value);
  return LmdbStatus(mdb_put(transaction, table, &key, &value, 0), "put");
}

absl::Status Apply(MDB_txn* transaction, MDB_dbi table, const std::vector<Write>& batch) {
  for (const Write& write : batch) {
    absl::Status status = Apply(transaction, table, write);
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

bool OnlyErases(const std::vector<Write>& batch) {
  return std::all_of(batch.begin(), batch.end(), [](const Write& write) { return write.erase; });
}

}  // namespace

absl::StatusOr<std::unique_ptr<Environment>> Environment::Open(const Options& options) {
  std::unique_ptr<Environment> environment(new Environment(options));
  absl::Status status = environment->Start();
  if (!status.ok()) return status;
  return environment;
}

Environment::~Environment() {
  if (snapshot_ != nullptr) mdb_txn_abort(snapshot_);
  if (env_ != nullptr) mdb_env_close(env_);
}

absl::Status Environment::Start() {
  const std::string action = "open " + options_.file;
  int code = mdb_env_create(&env_);
  if (code == MDB_SUCCESS) code = mdb_env_set_mapsize(env_, options_.put_limit_bytes);
  if (code == MDB_SUCCESS) code = mdb_env_set_maxdbs(env_, kTableCount);
  if (code == MDB_SUCCESS) code = mdb_env_open(env_, options_.file.c_str(), kFlags, kFileMode);
  if (code != MDB_SUCCESS) return LmdbStatus(code, action);
  absl::Status status = CheckTruncation(env_, {kMetadataTable, kDataTable});
  if (status.ok()) status = OpenTables();
  if (status.ok()) status = OpenSnapshot();
  return status;
}

absl::Status Environment::OpenTables() {
  MDB_txn* transaction = nullptr;
  int code = mdb_txn_begin(env_, nullptr, 0, &transaction);
  if (code != MDB_SUCCESS) return LmdbStatus(code, "begin");
  code = mdb_dbi_open(transaction, kMetadataTable, MDB_CREATE, &tables_.metadata);
  if (code == MDB_SUCCESS) code = mdb_dbi_open(transaction, kDataTable, MDB_CREATE, &tables_.data);
  if (code != MDB_SUCCESS) {
    mdb_txn_abort(transaction);
    return LmdbStatus(code, "open tables of " + options_.file);
  }
  code = mdb_txn_commit(transaction);
  return code == MDB_SUCCESS ? Sync() : LmdbStatus(code, "commit");
}

absl::Status Environment::OpenSnapshot() {
  absl::Status status =
      LmdbStatus(mdb_txn_begin(env_, nullptr, MDB_RDONLY, &snapshot_), "begin to read");
  if (status.ok()) CountPages();
  return status;
}

// ---------------------------------------------------------------- writing

std::vector<absl::Status> Environment::Commit(const std::vector<std::vector<Write>>& batches) {
  std::vector<const std::vector<Write>*> batch_pointers;
  batch_pointers.reserve(batches.size());
  for (const std::vector<Write>& batch : batches) batch_pointers.push_back(&batch);
  const absl::Status status = CommitTogether(batch_pointers);
  std::vector<absl::Status> results(batches.size(), status);
  const bool commit_separately = !status.ok() && sync_failure_.ok();
  if (!commit_separately) return results;
  for (std::size_t i = 0; i < batches.size(); ++i) results[i] = CommitOne(batches[i]);
  return results;
}

absl::Status Environment::CommitTogether(const std::vector<const std::vector<Write>*>& batches) {
  return ApplyAndSync(tables_.data, batches);
}

absl::Status Environment::CommitOne(const std::vector<Write>& batch) {
  absl::Status status = CommitTogether({&batch});
  if (!absl::IsResourceExhausted(status) || !OnlyErases(batch)) return status;
  status = SetLimit(Limit::kErase);
  if (status.ok()) status = CommitTogether({&batch});
  const absl::Status back = SetLimit(Limit::kPut);
  return status.ok() ? back : status;
}

absl::Status Environment::ApplyAndSync(MDB_dbi table,
                                       const std::vector<const std::vector<Write>*>& batches) {
  if (!sync_failure_.ok()) return sync_failure_;
  MDB_txn* transaction = nullptr;
  const int begun = mdb_txn_begin(env_, nullptr, 0, &transaction);
  if (begun != MDB_SUCCESS) return LmdbStatus(begun, "begin");
  for (const std::vector<Write>* batch : batches) {
    absl::Status status = Apply(transaction, table, *batch);
    if (status.ok()) continue;
    mdb_txn_abort(transaction);
    return status;
  }
  const int committed = mdb_txn_commit(transaction);
  if (committed != MDB_SUCCESS) return LmdbStatus(committed, "commit");
  return Sync();
}

absl::Status Environment::Sync() {
  sync_failure_ = LmdbStatus(mdb_env_sync(env_, 1), "sync " + options_.file);
  return sync_failure_.ok() ? RenewSnapshot() : sync_failure_;
}

// The snapshot always is the state before the one that is being written, whose pages LMDB keeps.
absl::Status Environment::RenewSnapshot() {
  if (snapshot_ == nullptr) return absl::OkStatus();
  const std::lock_guard<std::recursive_mutex> lock(snapshot_mutex_);
  mdb_txn_reset(snapshot_);
  absl::Status status = LmdbStatus(mdb_txn_renew(snapshot_), "renew the snapshot");
  if (status.ok()) CountPages();
  return status;
}

// Of the trees themselves: what is free within the file does not count.
void Environment::CountPages() {
  constexpr MDB_dbi kFreePages = 0, kTablesByName = 1;
  std::size_t bytes = 0;
  for (const MDB_dbi table : {kFreePages, kTablesByName, tables_.metadata, tables_.data}) {
    MDB_stat stat;
    if (mdb_stat(snapshot_, table, &stat) != MDB_SUCCESS) return;
    bytes += stat.ms_psize * (stat.ms_branch_pages + stat.ms_leaf_pages + stat.ms_overflow_pages);
  }
  used_bytes_ = bytes;
}

absl::Status Environment::SetLimit(Limit limit) {
  const bool put = limit == Limit::kPut;
  const std::size_t bytes = put ? options_.put_limit_bytes : options_.erase_limit_bytes;
  const std::lock_guard<std::recursive_mutex> lock(snapshot_mutex_);  // the file is mapped anew
  return LmdbStatus(mdb_env_set_mapsize(env_, bytes), "set the size of the map");
}

// ---------------------------------------------------------------- reading

absl::StatusOr<std::string> Environment::GetFrom(MDB_dbi table, std::string_view key) const {
  const std::lock_guard<std::recursive_mutex> lock(snapshot_mutex_);
  MDB_val name = ValueOf(key);
  MDB_val value;
  const int code = mdb_get(snapshot_, table, &name, &value);
  if (code != MDB_SUCCESS) return LmdbStatus(code, "get");
  return std::string(TextOf(value));
}

absl::StatusOr<std::string> Environment::Get(std::string_view key) const {
  return GetFrom(tables_.data, key);
}

absl::Status Environment::ForEach(
    std::string_view prefix,
    const std::function<void(std::string_view key, std::string_view value)>& visit) const {
  const std::lock_guard<std::recursive_mutex> lock(snapshot_mutex_);
  MDB_cursor* opened = nullptr;
  int code = mdb_cursor_open(snapshot_, tables_.data, &opened);
  if (code != MDB_SUCCESS) return LmdbStatus(code, "open a cursor");
  const Cursor cursor(opened);
  MDB_val key = ValueOf(prefix);
  MDB_val value;
  code = mdb_cursor_get(opened, &key, &value, prefix.empty() ? MDB_FIRST : MDB_SET_RANGE);
  while (code == MDB_SUCCESS && TextOf(key).substr(0, prefix.size()) == prefix) {
    visit(TextOf(key), TextOf(value));
    code = mdb_cursor_get(opened, &key, &value, MDB_NEXT);
  }
  const bool complete = code == MDB_SUCCESS || code == MDB_NOTFOUND;
  return complete ? absl::OkStatus() : LmdbStatus(code, "read");
}

// ---------------------------------------------------------------- about the file

absl::Status Environment::SetDiskId(const std::string& disk_id) {
  const std::vector<Write> batch = {{std::string(kDiskIdKey), disk_id, false}};
  return ApplyAndSync(tables_.metadata, {&batch});
}

absl::StatusOr<std::string> Environment::ReadDiskId() const {
  return GetFrom(tables_.metadata, kDiskIdKey);
}

}  // namespace pearreach::storage
