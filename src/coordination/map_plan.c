#include <string.h>

#include "coordination/map_plan.h"

struct plan {
	const struct map *current;
	struct map *next;
	const struct plan_instance *instances;
	size_t n;
	unsigned n_usable; /* instances that may be given slices */
	unsigned primary_load[PLAN_INSTANCES_MAX];
	unsigned backup_load[PLAN_INSTANCES_MAX];
	enum plan_result result;
};

static int find_instance(const struct plan *plan, uint64_t id)
{
	size_t i;

	for (i = 0; id && i < plan->n; i++)
		if (plan->instances[i].member.id == id)
			return (int)i;
	return -1;
}

/* Whether instance `i` may be given slices. */
static bool is_usable(const struct plan *plan, int i)
{
	return i >= 0 && plan->instances[i].is_alive &&
	       !plan->instances[i].is_leaving &&
	       !plan->instances[i].is_uncontacted;
}

static bool is_alive(const struct plan *plan, int i)
{
	return i >= 0 && plan->instances[i].is_alive;
}

static bool has_complete_copy(const struct plan *plan, int i,
			      unsigned slice_index)
{
	return is_alive(plan, i) &&
	       plan->instances[i].complete_slices >> slice_index & 1;
}

/* Whether holder `id` is proved to have ended, or there is no holder. */
static bool has_ended(const struct plan *plan, uint64_t id)
{
	int i = find_instance(plan, id);

	return !id || (i >= 0 && plan->instances[i].has_ended);
}

static bool same_rack(const struct plan *plan, int a, int b)
{
	return !strcmp(plan->instances[a].member.rack,
		       plan->instances[b].member.rack);
}

/* Prefers a backup in another rack, then the one with the least load. */
static int pick_backup(const struct plan *plan, int primary)
{
	int i, best = -1;

	for (i = 0; i < (int)plan->n; i++) {
		bool in_same_rack, best_in_same_rack;

		if (!is_usable(plan, i) || i == primary)
			continue;
		if (best < 0) {
			best = i;
			continue;
		}
		in_same_rack = same_rack(plan, i, primary);
		best_in_same_rack = same_rack(plan, best, primary);
		if (in_same_rack != best_in_same_rack
			    ? best_in_same_rack
			    : plan->backup_load[i] < plan->backup_load[best])
			best = i;
	}
	return best;
}

static int pick_primary(const struct plan *plan)
{
	int i, best = -1;

	for (i = 0; i < (int)plan->n; i++)
		if (is_usable(plan, i) &&
		    (best < 0 ||
		     plan->primary_load[i] < plan->primary_load[best]))
			best = i;
	return best;
}

static void assign_slice(struct plan *plan, unsigned slice_index, int primary,
			 int backup)
{
	struct map_slice *slice = &plan->next->slices[slice_index];

	slice->primary = plan->instances[primary].member.id;
	slice->backup = backup < 0 ? 0 : plan->instances[backup].member.id;
}

/*
 * Replaces holders of which none has all claims: the slice goes to a backup
 * with an incomplete copy, or to another instance. Every other old holder has
 * to be proved to have ended. The loss of claims is marked.
 */
static void replace_holders(struct plan *plan, unsigned slice_index, int backup)
{
	const struct map_slice *slice = &plan->current->slices[slice_index];
	int primary;

	if (!has_ended(plan, slice->primary) ||
	    (!is_alive(plan, backup) && !has_ended(plan, slice->backup)))
		return;
	primary = is_alive(plan, backup) ? backup : pick_primary(plan);
	if (primary < 0)
		return;
	assign_slice(plan, slice_index, primary, pick_backup(plan, primary));
	if (plan->current->epoch)
		plan->next->slices[slice_index].loss_epoch = plan->next->epoch;
}

static void repair_slice(struct plan *plan, unsigned slice_index)
{
	const struct map_slice *slice = &plan->current->slices[slice_index];
	int primary = find_instance(plan, slice->primary);
	int backup = find_instance(plan, slice->backup);

	if (!is_usable(plan, primary) &&
	    has_complete_copy(plan, backup, slice_index))
		assign_slice(plan, slice_index, backup,
			     pick_backup(plan, backup));
	else if (!is_alive(plan, primary))
		replace_holders(plan, slice_index, backup);
	else if (!is_usable(plan, backup))
		assign_slice(plan, slice_index, primary,
			     pick_backup(plan, primary));
}

static void count_load(struct plan *plan)
{
	unsigned s;
	int i;

	memset(plan->primary_load, 0, sizeof(plan->primary_load));
	memset(plan->backup_load, 0, sizeof(plan->backup_load));
	for (s = 0; s < SYC_SLICES; s++) {
		i = find_instance(plan, plan->next->slices[s].primary);
		if (i >= 0)
			plan->primary_load[i]++;
		i = find_instance(plan, plan->next->slices[s].backup);
		if (i >= 0)
			plan->backup_load[i]++;
	}
}

static bool same_holders(const struct map_slice *a, const struct map_slice *b)
{
	return a->primary == b->primary && a->backup == b->backup;
}

static void repair_slices(struct plan *plan)
{
	const struct map_slice *before, *after;
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++) {
		repair_slice(plan, s);
		before = &plan->current->slices[s];
		after = &plan->next->slices[s];
		if (same_holders(before, after))
			continue;
		count_load(plan);
		if (before->primary != after->primary || before->backup)
			plan->result = PLAN_URGENT;
		else if (!plan->result)
			plan->result = PLAN_DEFERRABLE;
	}
}

/*
 * Whether every slice has two usable holders and a complete copy. Slices are
 * only moved for balance when this holds.
 */
static bool is_stable(const struct plan *plan)
{
	unsigned s;

	if (plan->n_usable < 2)
		return false;
	for (s = 0; s < SYC_SLICES; s++) {
		const struct map_slice *slice = &plan->next->slices[s];

		if (!is_usable(plan, find_instance(plan, slice->primary)) ||
		    !is_usable(plan, find_instance(plan, slice->backup)) ||
		    !has_complete_copy(plan, find_instance(plan, slice->backup),
				       s))
			return false;
	}
	return true;
}

/*
 * Returns the usable instance other than `excluded` with the least load, or
 * -1 if no load is below `min_share`.
 */
static int find_least_loaded(const struct plan *plan, const unsigned *load,
			     unsigned min_share, int excluded)
{
	int i, best = -1;

	for (i = 0; i < (int)plan->n; i++)
		if (is_usable(plan, i) && i != excluded &&
		    load[i] < min_share && (best < 0 || load[i] < load[best]))
			best = i;
	return best;
}

/*
 * Moves primaries away from overloaded instances. A backup below its share
 * becomes the primary. Otherwise an instance below its share becomes the
 * backup, receives the copy and becomes the primary in a later plan.
 */
static void balance_primaries(struct plan *plan, unsigned min_share,
			      unsigned *backup_moves)
{
	unsigned planned_load[PLAN_INSTANCES_MAX], s;

	memcpy(planned_load, plan->primary_load, sizeof(planned_load));
	for (s = 0; s < SYC_SLICES; s++) {
		struct map_slice *slice = &plan->next->slices[s];
		int from = find_instance(plan, slice->primary);
		int backup = find_instance(plan, slice->backup);
		int to = find_least_loaded(plan, planned_load, min_share, from);

		if (to < 0 || planned_load[from] <= min_share)
			continue;
		if (planned_load[backup] < min_share) {
			assign_slice(plan, s, backup, from);
			to = backup;
		} else if (*backup_moves < PLAN_BACKUP_MOVES_MAX) {
			assign_slice(plan, s, from, to);
			++*backup_moves;
		} else {
			continue;
		}
		planned_load[to]++;
		planned_load[from]--;
	}
}

static void balance_backups(struct plan *plan, unsigned min_share,
			    unsigned *backup_moves)
{
	unsigned s;

	for (s = 0; s < SYC_SLICES && *backup_moves < PLAN_BACKUP_MOVES_MAX;
	     s++) {
		struct map_slice *slice = &plan->next->slices[s];
		int primary = find_instance(plan, slice->primary);
		int from = find_instance(plan, slice->backup);
		int to = find_least_loaded(plan, plan->backup_load, min_share,
					   primary);

		if (to < 0 || plan->backup_load[from] <= min_share + 1 ||
		    (same_rack(plan, to, primary) &&
		     !same_rack(plan, from, primary)))
			continue;
		assign_slice(plan, s, primary, to);
		plan->backup_load[to]++;
		plan->backup_load[from]--;
		++*backup_moves;
	}
}

static void balance(struct plan *plan)
{
	unsigned backup_moves = 0, min_share;

	if (plan->result == PLAN_URGENT || !is_stable(plan))
		return;
	min_share = SYC_SLICES / plan->n_usable;
	balance_primaries(plan, min_share, &backup_moves);
	if (backup_moves)
		return;
	count_load(plan);
	balance_backups(plan, min_share, &backup_moves);
}

static bool holds_slice(const struct map *m, uint64_t id)
{
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++)
		if (m->slices[s].primary == id || m->slices[s].backup == id)
			return true;
	return false;
}

/*
 * Lists as members the instances that are usable or uncontacted, and those
 * that an unrepaired slice still names.
 */
static void fill_members(struct plan *plan)
{
	struct map *m = plan->next;
	size_t i;

	m->n_members = 0;
	memset(m->members, 0, sizeof(m->members));
	for (i = 0; i < plan->n && m->n_members < SYC_MEMBERS_MAX; i++) {
		const struct plan_instance *instance = &plan->instances[i];
		bool is_uncontacted = instance->is_uncontacted &&
				      instance->is_alive;

		if (!is_usable(plan, (int)i) && !is_uncontacted &&
		    !holds_slice(m, instance->member.id))
			continue;
		m->members[m->n_members] = instance->member;
		if (!is_uncontacted)
			m->members[m->n_members].is_down = !is_usable(plan,
								      (int)i);
		m->n_members++;
	}
}

static bool members_differ(const struct map *a, const struct map *b)
{
	size_t i;
	int index;

	if (a->n_members != b->n_members)
		return true;
	for (i = 0; i < a->n_members; i++) {
		index = map_find_member(b, a->members[i].id);
		if (index < 0 ||
		    b->members[index].is_down != a->members[i].is_down)
			return true;
	}
	return false;
}

/* Sets the epochs of changed slices. Returns whether any slice changed. */
static bool set_changed_epochs(struct plan *plan)
{
	bool any_changed = false;
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++) {
		const struct map_slice *before = &plan->current->slices[s];
		struct map_slice *after = &plan->next->slices[s];

		any_changed |= before->loss_epoch != after->loss_epoch;
		if (same_holders(before, after))
			continue;
		after->entry_epoch = plan->next->epoch;
		if (before->primary != after->primary)
			after->primary_epoch = plan->next->epoch;
		any_changed = true;
	}
	return any_changed;
}

static void mark_losses(struct plan *plan, const struct plan_input *in)
{
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++) {
		if (in->expired_losses >> s & 1)
			plan->next->slices[s].loss_epoch = 0;
		if (in->all_claims_lost)
			plan->next->slices[s].loss_epoch = plan->next->epoch;
	}
	if (in->all_claims_lost)
		plan->result = PLAN_URGENT;
}

static void init_next(struct plan *plan, uint64_t epoch)
{
	struct map *next = plan->next;

	*next = *plan->current;
	next->epoch = epoch;
	memmove(next->ancestors + 1, next->ancestors,
		sizeof(next->ancestors) - sizeof(*next->ancestors));
	next->ancestors[0].epoch = plan->current->epoch;
	next->ancestors[0].tag = plan->current->tag;
}

static enum plan_result plan_for_epoch(const struct plan_input *in,
				       struct map *next, uint64_t epoch)
{
	struct plan plan = {.current = in->current,
			    .next = next,
			    .instances = in->instances,
			    .n = in->n};
	size_t i;

	init_next(&plan, epoch);
	for (i = 0; i < in->n; i++)
		plan.n_usable += is_usable(&plan, (int)i);
	mark_losses(&plan, in);
	count_load(&plan);
	repair_slices(&plan);
	balance(&plan);
	fill_members(&plan);
	if (!set_changed_epochs(&plan) && !members_differ(in->current, next))
		return PLAN_UNCHANGED;
	return plan.result ? plan.result : PLAN_DEFERRABLE;
}

static bool has_new_loss(const struct map *m)
{
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++)
		if (m->slices[s].loss_epoch == m->epoch)
			return true;
	return false;
}

enum plan_result map_plan(const struct plan_input *in, struct map *next)
{
	uint64_t epoch = in->current->epoch + 1;
	enum plan_result r = plan_for_epoch(in, next, epoch);

	if (r == PLAN_UNCHANGED || !has_new_loss(next))
		return r;
	return plan_for_epoch(in, next, epoch + in->epoch_jump);
}
