/*
 * Keeps what is known of lost runs in the store, for the case that all
 * instances are lost at the same time. The driver reads it when it begins and
 * writes each change; it drives on while the store does not answer.
 */
#include <stdio.h>

#include "fleet/fleet_state.h"

enum {
	INTERVAL_MS = 250, /* between two writes */
	RETRY_MS = 500 /* after a call that failed */
};

/* Of the whole fleet; those of a cell are named by its domain. */
static const char losses_key[] = "losses";

static void get_key(const struct fleet *f, char key[KEY_MAX])
{
	if (*f->opt.cell)
		snprintf(key, KEY_MAX, "cell-losses/%s", f->opt.cell);
	else
		snprintf(key, KEY_MAX, "%s", losses_key);
}

static void on_read(void *arg, const struct syc_platform_value *v)
{
	struct fleet *f = arg;
	struct losses_store *s = &f->losses_store;
	int64_t now = syc_now(&f->opt.clock);
	struct wire_in w;

	s->in_flight = false;
	s->next_at = now + RETRY_MS;
	if (v->status != SYC_PLATFORM_OK && v->status != SYC_PLATFORM_ABSENT)
		return;
	s->loaded = true;
	s->index = v->index;
	s->next_at = now;
	if (v->status == SYC_PLATFORM_ABSENT)
		return;
	wire_open(&w, v->value);
	losses_unpack_list(&w, f->opt.losses, now);
	if (!wire_close(&w))
		log_warn("losses_unreadable", LOG_U("index", v->index));
}

static void on_written(void *arg, const struct syc_platform_value *v)
{
	struct fleet *f = arg;
	struct losses_store *s = &f->losses_store;

	s->in_flight = false;
	s->next_at = syc_now(&f->opt.clock) + INTERVAL_MS;
	if (v->status == SYC_PLATFORM_OK && v->index) {
		s->index = v->index;
		s->stored = s->writing;
		return;
	}
	/* Another driver may have written it. */
	s->loaded = false;
}

static void read_losses(struct fleet *f)
{
	char key[KEY_MAX];

	get_key(f, key);
	f->losses_store.in_flight = true;
	f->opt.store.get(f->opt.store.ctx, key, on_read, f);
}

/* Writes the latest losses, as many as a list may have. */
static void write_losses(struct fleet *f, int64_t now)
{
	auto_wire_out struct wire_out w = {0};
	const struct loss *list[LOSSES_LIST_MAX], *x;
	struct losses_store *s = &f->losses_store;
	uint64_t version = losses_version(f->opt.losses);
	uint32_t pos = 0;
	char key[KEY_MAX];
	size_t n = 0;

	while ((x = losses_next(f->opt.losses, &pos)) && n < LOSSES_LIST_MAX)
		if (x->cause != LOSS_OTHER &&
		    x->version + LOSSES_LIST_MAX > version)
			list[n++] = x;
	get_key(f, key);
	wire_begin(&w, SYC_STORED_LOSSES, 2);
	losses_pack_list(&w, list, n, now);
	s->writing = version;
	s->in_flight = true;
	f->opt.store.cas(f->opt.store.ctx, key, s->index, wire_bytes(&w),
			 on_written, f);
}

void losses_store_tick(struct fleet *f, int64_t now)
{
	struct losses_store *s = &f->losses_store;

	if (f->driver != f->opt.self.id || !drive_is_active(f->drive)) {
		s->loaded = false;
		return;
	}
	if (s->in_flight || now < s->next_at)
		return;
	if (!s->loaded)
		read_losses(f);
	else if (losses_version(f->opt.losses) > s->stored)
		write_losses(f, now);
}
