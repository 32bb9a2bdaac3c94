/* Reads, watches and repairs the bundle in the store. */
#include <string.h>

#include "coordination/bundle_sync_internal.h"

/* Doubles a backoff between its bounds; zero becomes the minimum. */
static uint32_t next_backoff_ms(uint32_t backoff_ms, uint32_t min, uint32_t max)
{
	if (!backoff_ms)
		return min;
	return backoff_ms * 2 < max ? backoff_ms * 2 : max;
}

static void back_off_store(struct syc_bundle_sync *s)
{
	s->store_backoff_ms = next_backoff_ms(
		s->store_backoff_ms, SYNC_RETRY_MIN_MS, SYNC_RETRY_MAX_MS);
	s->next_store_call_at = s->now + s->store_backoff_ms;
}

/*
 * Schedules a read of the written value, whatever the reply was. While reads
 * are stale, every repair is refused. A backoff then delays the repairs, but
 * not the reads.
 */
static void write_done(void *arg, const struct syc_platform_value *v)
{
	struct syc_bundle_sync *s = arg;

	s->call = SYNC_STORE_IDLE;
	s->store_index = 0;
	s->repair_backoff_ms = next_backoff_ms(
		s->repair_backoff_ms, SYNC_REPAIR_MIN_MS, SYNC_REPAIR_MAX_MS);
	s->next_repair_at = s->now + s->repair_backoff_ms;
	if (v->status == SYC_PLATFORM_OK || v->status == SYC_PLATFORM_CONFLICT)
		s->next_store_call_at = s->now + SYNC_WATCH_INTERVAL_MS;
	else
		back_off_store(s);
}

/*
 * Writes the current bundle back over an older or missing one. The store was
 * restored or wiped, or a read was stale. Only a watcher repairs.
 */
static void start_repair(struct syc_bundle_sync *s, uint64_t index)
{
	struct syc_bytes text = {s->current->text, s->current->text_len};

	s->store_index = 0;
	s->next_store_call_at = s->now + SYNC_OLDER_BUNDLE_RETRY_MS;
	if (!s->is_watcher || s->now < s->next_repair_at)
		return;
	s->call = SYNC_STORE_WRITE;
	s->opt.store.cas(s->opt.store.ctx, SYC_BUNDLE_KEY, index, text,
			 write_done, s);
}

/* Reports the refusal of the content at `index` unless it was reported. */
static void report_refusal_once(struct syc_bundle_sync *s, uint64_t index,
				const char *err)
{
	if (s->has_refused_index && s->refused_index == index)
		return;
	s->has_refused_index = true;
	s->refused_index = index;
	sync_report_refusal(s, "store: %s", err);
}

/*
 * Returns the version of an envelope, or zero when it cannot be parsed. The
 * signatures are not verified.
 */
static uint64_t envelope_version(struct syc_bytes text)
{
	char err[256];
	struct syc_bundle *b = syc_bundle_parse_draft(text, err, sizeof(err));
	uint64_t version = b ? b->version : 0;

	syc_bundle_unref(b);
	return version;
}

/* Whether `text` equals the current envelope apart from the signatures. */
static bool is_current_bundle(const struct syc_bundle_sync *s,
			      struct syc_bytes text)
{
	struct syc_bytes own_text;
	size_t n;

	if (!s->current)
		return false;
	own_text = (struct syc_bytes){s->current->text, s->current->text_len};
	n = syc_bundle_signed_len(own_text);
	return n == syc_bundle_signed_len(text) &&
	       !memcmp(own_text.p, text.p, n);
}

static void handle_value(struct syc_bundle_sync *s,
			 const struct syc_platform_value *v)
{
	char err[256] = "";
	uint64_t version;

	if (is_current_bundle(s, v->value) ||
	    sync_try_adopt(s, v->value, err, sizeof(err))) {
		s->repair_backoff_ms = 0;
		return;
	}
	version = envelope_version(v->value);
	report_refusal_once(s, v->index, err);
	if (s->current && version && version < s->current->version)
		start_repair(s, v->index);
}

static void handle_absent(struct syc_bundle_sync *s)
{
	s->next_store_call_at = s->now + SYNC_ABSENT_RETRY_MS;
	if (s->current)
		start_repair(s, 0);
}

static void read_done(void *arg, const struct syc_platform_value *v)
{
	struct syc_bundle_sync *s = arg;

	s->call = SYNC_STORE_IDLE;
	if (v->status != SYC_PLATFORM_OK && v->status != SYC_PLATFORM_ABSENT) {
		s->store_index = 0; /* a read comes next, which is short */
		back_off_store(s);
		return;
	}
	s->store_backoff_ms = 0;
	s->store_index = v->index;
	s->next_store_call_at = s->now + SYNC_WATCH_INTERVAL_MS;
	if (!s->is_watcher)
		s->next_store_call_at = s->now + SYNC_FIRST_READ_RETRY_MS;
	if (v->status == SYC_PLATFORM_ABSENT)
		handle_absent(s);
	else
		handle_value(s, v);
}

void sync_store_tick(struct syc_bundle_sync *s)
{
	if (s->call != SYNC_STORE_IDLE || s->now < s->next_store_call_at)
		return;
	if (!s->is_watcher && s->current)
		return;
	s->call = SYNC_STORE_READ;
	if (s->is_watcher && s->store_index)
		s->opt.store.watch(s->opt.store.ctx, SYC_BUNDLE_KEY,
				   s->store_index, SYNC_WATCH_WAIT_MS,
				   read_done, s);
	else
		s->opt.store.get(s->opt.store.ctx, SYC_BUNDLE_KEY, read_done,
				 s);
}

void syc_bundle_sync_set_watcher(struct syc_bundle_sync *s, int64_t now,
				 bool watcher)
{
	s->now = now;
	if (watcher == s->is_watcher)
		return;
	s->is_watcher = watcher;
	s->store_index = 0;
	if (watcher)
		s->next_store_call_at = now;
}
