#include <stdbool.h>

#include "protocol/json_items.h"
#include "util/buf.h"

/* A position in a JSON text. */
struct scan {
	const char *text;
	size_t n, at;
	unsigned depth; /* brackets that are open */
};

/* Skips a string, whose first quote is before `at`. */
static void skip_string(struct scan *s)
{
	while (s->at < s->n && s->text[s->at] != '"')
		s->at += s->text[s->at] == '\\' ? 2 : 1;
	s->at++;
}

/* Goes on behind the next bracket and returns it; 0: there is none. */
static char next_bracket(struct scan *s)
{
	char c;

	while (s->at < s->n) {
		c = s->text[s->at++];
		if (c == '"')
			skip_string(s);
		else if (c == '{' || c == '[' || c == '}' || c == ']')
			return c;
	}
	return '\0';
}

static bool is_readable(const char *item, size_t n, size_t flags)
{
	json_t *doc = json_loadb(item, n, flags, NULL);

	json_decref(doc);
	return doc != NULL;
}

/* Copies the text, with null for each item that cannot be parsed. */
static void copy_readable(struct syc_bytes text, unsigned depth, size_t flags,
			  struct buf *out)
{
	struct scan s = {.text = text.p, .n = text.n};
	size_t copied = 0, begin = 0;
	char c;

	while ((c = next_bracket(&s))) {
		if (c == '{' || c == '[') {
			if (s.depth++ == depth)
				begin = s.at - 1;
			continue;
		}
		if (!s.depth || --s.depth != depth ||
		    is_readable(s.text + begin, s.at - begin, flags))
			continue;
		buf_add(out, s.text + copied, begin - copied);
		buf_puts(out, "null");
		copied = s.at;
	}
	buf_add(out, s.text + copied, s.n - copied);
}

json_t *json_load_items(struct syc_bytes text, unsigned depth, size_t flags,
			json_error_t *err)
{
	auto_buf struct buf copy = {0};
	json_t *doc = json_loadb(text.p ? text.p : "", text.n, flags, err);

	if (doc || !text.n)
		return doc;
	copy_readable(text, depth, flags, &copy);
	return json_loadb(copy.data, copy.len, flags, err);
}
