/*
 * Writes this incarnation's ledger to the store at intervals and once more
 * at a planned stop. Only this incarnation writes its key, so after a lost
 * reply it is enough to read the index before the next write.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/core_internal.h"
#include "util/cleanup.h"

enum { LEDGER_INTERVAL_MS = 10000 };

static void format_ledger_key(const struct syc_core *core, char *key,
			      size_t size)
{
	snprintf(key, size, "sycamoreshore/ledger/%s/%016" PRIx64,
		 core->opt.self.domain, core->opt.self.id);
}

static void on_index_read(void *arg, const struct syc_platform_value *v)
{
	struct syc_core *core = arg;

	core->ledger_pending = false;
	if (v->status != SYC_PLATFORM_OK && v->status != SYC_PLATFORM_ABSENT)
		return;
	core->ledger_index = v->index;
	core->ledger_index_unknown = false;
	core->ledger_at = core->now;
}

static void on_ledger_written(void *arg, const struct syc_platform_value *v)
{
	struct syc_core *core = arg;

	core->ledger_pending = false;
	if (v->status != SYC_PLATFORM_OK) {
		core->ledger_index_unknown = true;
		return;
	}
	core->ledger_index = v->index;
	if (core_is_drained(core))
		core->final_ledger_written = true;
}

void core_ledger_tick(struct syc_core *core)
{
	char key[96];
	auto_free char *text = NULL;
	struct syc_bytes value;

	if (core->ledger_pending)
		return;
	if (core->now < core->ledger_at &&
	    (!core_is_drained(core) || core->final_ledger_written))
		return;
	core->ledger_pending = true;
	core->ledger_at = core->now + LEDGER_INTERVAL_MS;
	format_ledger_key(core, key, sizeof(key));
	if (core->ledger_index_unknown) {
		core->opt.store.get(core->opt.store.ctx, key, on_index_read,
				    core);
		return;
	}
	text = syc_core_ledger(core, core->now);
	value.p = text;
	value.n = strlen(text);
	core->opt.store.cas(core->opt.store.ctx, key, core->ledger_index, value,
			    on_ledger_written, core);
}
