#include <math.h>
#include <string.h>

#include "policy/worker_speed.h"
#include "util/alloc.h"

enum {
	SAMPLES_WINDOW = 32, /* the mean covers about the last 32 samples */
	KIND_SAMPLES = 2, /* the mean of the kind counts as so many samples */
	SURPRISES = 2, /* in a row, from different sources, are a change */
	DEVIATION_HALF_MS = 2000, /* without a sample */
	COLD_SAMPLES_WINDOW = 64,
	COLD_PRIOR_SAMPLES = 4
};

/* Ratios outside of 1 / surprise_ratio to surprise_ratio are no chance. */
static const double surprise_ratio = 2.5;
/* A smaller deviation is none. */
static const double deviation_min = 0.2;
/* Logarithms outside of these bounds count as the bound. */
static const double log_ratio_max = 3;
/* A deviation follows each sample by this share. */
static const double deviation_gain = 0.7;
/* The mean hardly follows samples of a worker that has changed. */
static const double changed_weight = 0.25;
static const double cold_prior = 2;

static struct speed_kind *get_kind(struct worker_speeds *all, const char *name)
{
	uint32_t i;

	for (i = 0; i < all->n_kinds; i++)
		if (!strcmp(all->kinds[i].name, name))
			return &all->kinds[i];
	if (all->n_kinds == SPEED_KINDS_MAX)
		return &all->kinds[SPEED_KINDS_MAX - 1];
	copy_text(all->kinds[all->n_kinds].name, SYC_NAME_MAX, name);
	return &all->kinds[all->n_kinds++];
}

void worker_speed_end(struct worker_speeds *all, struct worker_speed *w)
{
	if (w->kind)
		all->n_workers--;
	all->n_deviating -= fabs(w->deviation) > 0;
	if (w->kind && w->n_samples > 0) {
		w->kind->sum -= w->mean;
		w->kind->n_workers--;
	}
	memset(w, 0, sizeof(*w));
}

void worker_speed_begin(struct worker_speeds *all, struct worker_speed *w,
			const char *kind)
{
	worker_speed_end(all, w);
	all->n_workers++;
	w->kind = get_kind(all, kind);
}

static double overall_mean(const struct worker_speeds *all)
{
	double sum = 0;
	uint32_t i, n = 0;

	for (i = 0; i < all->n_kinds; i++) {
		sum += all->kinds[i].sum;
		n += all->kinds[i].n_workers;
	}
	return n ? sum / n : 0;
}

/* The logarithm of the usual factor. */
static double usual_of(const struct worker_speeds *all,
		       const struct worker_speed *w)
{
	double overall = overall_mean(all);
	double kind_mean;

	if (!w->kind)
		return 0;
	kind_mean = (w->kind->sum + overall) / (w->kind->n_workers + 1);
	return (KIND_SAMPLES * kind_mean + w->n_samples * w->mean) /
		       (KIND_SAMPLES + w->n_samples) -
	       overall;
}

/* A change of most workers is one of the routes' run times. */
static double deviation_of(const struct worker_speeds *all,
			   const struct worker_speed *w, int64_t now)
{
	double faded;

	if (!(fabs(w->deviation) > 0) || 2 * all->n_deviating > all->n_workers)
		return 0;
	faded = w->deviation *
		exp2(-(double)(now - w->deviation_at) / DEVIATION_HALF_MS);
	return fabs(faded) < deviation_min ? 0 : faded;
}

double worker_speed_usual_factor(const struct worker_speeds *all,
				 const struct worker_speed *w)
{
	return exp(usual_of(all, w));
}

double worker_speed_factor(const struct worker_speeds *all,
			   const struct worker_speed *w, int64_t now)
{
	return exp(usual_of(all, w) + deviation_of(all, w, now));
}

static double clamp(double x, double max)
{
	return x > max ? max : x < -max ? -max : x;
}

/* Counts a sample that is far off. Returns whether the worker has changed. */
static bool count_surprise(struct worker_speed *w, const struct speed_sample *s,
			   bool is_above)
{
	int sign = is_above ? 1 : -1;
	bool is_other_source = s->source != w->surprise_source;

	if (w->n_surprises * sign <= 0) {
		w->n_surprises = 0;
		w->surprises = 0;
		is_other_source = true;
	}
	if (!is_other_source)
		return false;
	w->n_surprises += sign;
	w->surprises += clamp(s->log_ratio, log_ratio_max);
	w->surprise_source = s->source;
	return w->n_surprises * sign >= SURPRISES;
}

static void set_deviation(struct worker_speeds *all, struct worker_speed *w,
			  double deviation, int64_t now)
{
	all->n_deviating -= fabs(w->deviation) > 0;
	w->deviation = fabs(deviation) < deviation_min ? 0 : deviation;
	all->n_deviating += fabs(w->deviation) > 0;
	w->deviation_at = now;
	w->n_surprises = 0;
	w->surprises = 0;
}

static void follow_mean(struct worker_speed *w, double log_ratio, double weight)
{
	bool is_first = !(w->n_samples > 0);

	if (!w->kind || !(weight > 0))
		return;
	w->n_samples += weight;
	if (w->n_samples > SAMPLES_WINDOW)
		w->n_samples = SAMPLES_WINDOW;
	w->kind->sum -= is_first ? 0 : w->mean;
	w->kind->n_workers += is_first;
	w->mean += (log_ratio - w->mean) * weight / w->n_samples;
	w->kind->sum += w->mean;
}

/* A sample that is near to what was expected, or of a worker that changed. */
static void follow(struct worker_speeds *all, struct worker_speed *w,
		   const struct speed_sample *s, bool has_ended, int64_t now)
{
	double log_ratio = clamp(s->log_ratio, log_ratio_max);
	double deviation = deviation_of(all, w, now);
	bool has_changed = fabs(w->deviation) > 0;
	double absolute = log_ratio + overall_mean(all);
	double target;

	if (has_ended)
		follow_mean(w, absolute,
			    s->weight * (has_changed ? changed_weight : 1));
	w->n_surprises = 0;
	if (!has_changed)
		return;
	target = log_ratio - usual_of(all, w);
	set_deviation(all, w, deviation + (target - deviation) * deviation_gain,
		      now);
}

static void take_sample(struct worker_speeds *all, struct worker_speed *w,
			const struct speed_sample *s, bool has_ended,
			int64_t now)
{
	double usual = usual_of(all, w);
	double off = s->log_ratio - usual - deviation_of(all, w, now);

	if (fabs(w->deviation) > 0) {
		follow(all, w, s, has_ended, now);
		return;
	}
	if (fabs(off) <= log(surprise_ratio)) {
		if (has_ended)
			follow(all, w, s, has_ended, now);
		return;
	}
	if (count_surprise(w, s, off > 0))
		set_deviation(all, w, w->surprises / SURPRISES - usual, now);
}

void worker_speed_learn(struct worker_speeds *all, struct worker_speed *w,
			const struct speed_sample *s, int64_t now)
{
	take_sample(all, w, s, true, now);
}

void worker_speed_learn_progress(struct worker_speeds *all,
				 struct worker_speed *w,
				 const struct speed_sample *s, int64_t now)
{
	take_sample(all, w, s, false, now);
}

void worker_speed_learn_cold(struct worker_speeds *all,
			     const struct worker_speed *w, double log_ratio)
{
	double slowness = log_ratio - usual_of(all, w);

	if (all->n_cold < COLD_SAMPLES_WINDOW)
		all->n_cold++;
	all->cold += (clamp(slowness, log_ratio_max) - all->cold) / all->n_cold;
}

double worker_speed_cold_factor(const struct worker_speeds *all)
{
	double slowness = (COLD_PRIOR_SAMPLES * log(cold_prior) +
			   all->n_cold * all->cold) /
			  (COLD_PRIOR_SAMPLES + all->n_cold);

	return slowness > 0 ? exp(slowness) : 1;
}
