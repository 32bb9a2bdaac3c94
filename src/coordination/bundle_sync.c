#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/bundle_sync_internal.h"
#include "util/alloc.h"
#include "util/index.h"
#include "util/invariant.h"

struct syc_bundle_sync *syc_bundle_sync_new(
	const struct syc_bundle_sync_options *opt, int64_t now)
{
	struct syc_bundle_sync *s = xcalloc(1, sizeof(*s));

	s->opt = *opt;
	s->now = now;
	s->next_store_call_at = now + SYNC_FIRST_READ_DELAY_MS;
	return s;
}

void syc_bundle_sync_free(struct syc_bundle_sync *s)
{
	size_t i;

	if (!s)
		return;
	for (i = 0; i < SYNC_RECENT_MAX; i++)
		syc_bundle_unref(s->recent[i]);
	free(s);
}

struct syc_bundle *syc_bundle_sync_current(const struct syc_bundle_sync *s)
{
	return s->current;
}

void sync_report_refusal(struct syc_bundle_sync *s, const char *fmt, ...)
{
	char text[320];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	s->opt.refused(s->opt.ctx, text);
}

uint64_t sync_envelope_hash(struct syc_bytes envelope)
{
	struct index_key key = index_hash_bytes(envelope.p, envelope.n);

	return key.lo ? key.lo : 1;
}

static void adopt(struct syc_bundle_sync *s, struct syc_bundle *b)
{
	size_t i;

	invariant(!s->current || b->version > s->current->version);
	syc_bundle_unref(s->recent[SYNC_RECENT_MAX - 1]);
	for (i = SYNC_RECENT_MAX - 1; i > 0; i--)
		s->recent[i] = s->recent[i - 1];
	s->recent[0] = b;
	s->current = b;
	s->opt.adopted(s->opt.ctx, b);
}

bool sync_try_adopt(struct syc_bundle_sync *s, struct syc_bytes envelope,
		    char *err, size_t errlen)
{
	struct syc_bundle *b = syc_bundle_parse(envelope, s->opt.trusted,
						s->opt.n_trusted, err, errlen);

	if (!b)
		return false;
	if (!syc_bundle_can_replace(s->current, b, err, errlen)) {
		syc_bundle_unref(b);
		return false;
	}
	adopt(s, b);
	return true;
}

void syc_bundle_sync_tick(struct syc_bundle_sync *s, int64_t now)
{
	s->now = now;
	sync_store_tick(s);
	sync_peer_tick(s);
}
