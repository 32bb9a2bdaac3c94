/*
 * Reads the platform's list of targets of each service and passes the
 * targets of this failure domain to the dispatcher. While the platform is
 * unreachable the last list stays in use.
 */
#include <stdlib.h>
#include <string.h>

#include "core/core_internal.h"
#include "util/alloc.h"

/* Context of a read: the core and the service whose list is read. */
struct list_call {
	struct syc_core *core;
	char service[SYC_NAME_MAX];
};

static void on_targets_listed(void *arg, enum syc_platform_status st,
			      const struct syc_target *targets, size_t n)
{
	struct list_call *call = arg;
	struct syc_core *core = call->core;
	struct syc_target *local;
	size_t i, n_local = 0;

	core->lists_pending--;
	core->list_failed |= st != SYC_PLATFORM_OK;
	if (!core->lists_pending && !core->list_failed)
		core->targets_listed = true;
	if (st == SYC_PLATFORM_OK) {
		local = xcalloc(n, sizeof(*local));
		for (i = 0; i < n; i++)
			if (!strcmp(targets[i].domain, core->opt.self.domain))
				local[n_local++] = targets[i];
		syc_dispatch_set_targets(core->dispatch, core->now,
					 call->service, local, n_local);
		free(local);
	}
	free(call);
}

static void read_list(struct syc_core *core, const char *service)
{
	struct list_call *call = xcalloc(1, sizeof(*call));

	call->core = core;
	copy_text(call->service, sizeof(call->service), service);
	core->lists_pending++;
	core->opt.store.list(core->opt.store.ctx, service, on_targets_listed,
			     call);
}

void core_target_list_tick(struct syc_core *core)
{
	const struct syc_bundle *b = syc_core_bundle(core);
	size_t i;

	/* Targets are read after the map, which determines their owners. */
	if (!b || !core->epoch_seen || core->lists_pending ||
	    core->now < core->target_list_at)
		return;
	core->target_list_at = core->now + core->opt.list_interval_ms;
	core->list_failed = false;
	for (i = 0; i < b->n_services; i++)
		read_list(core, b->services[i].name);
}
