#include <stdio.h>

#include "cmd/settings.h"
#include "cmd/settings_reference.h"

static void print_field(const struct field *f, struct buf *out)
{
	char type[96];

	field_describe(f, type, sizeof(type));
	buf_printf(out, "| `%s` | %s | ", f->key, type);
	if (!f->default_text)
		buf_puts(out, "must be given");
	else if (!*f->default_text)
		buf_puts(out, "empty");
	else
		buf_printf(out, "%s%s%s", f->default_text, f->unit ? " " : "",
			   f->unit ? f->unit : "");
	buf_printf(out, " | %s |\n", f->help);
}

void settings_reference_sections(struct buf *out,
				 const struct settings_section *sec)
{
	const struct field *f;

	for (; sec->name; sec++) {
		buf_printf(out, "\n## [%s]\n\n%s\n", sec->name, sec->help);
		if (!sec->fields)
			continue;
		buf_puts(out, "\n| key | value | default | meaning |\n"
			      "| --- | --- | --- | --- |\n");
		for (f = sec->fields; f->key; f++)
			print_field(f, out);
	}
}

void settings_reference(struct buf *out)
{
	buf_puts(out,
		 "# Settings\n\n"
		 "The settings of one instance: an INI file of at most 196 "
		 "bytes a line.\nLines that begin with `#` or `;` are "
		 "comments. An unknown or repeated section\nor key and an "
		 "invalid value are refused with file and line. This page is\n"
		 "printed by `sycamoreshore entry --reference`.\n");
	settings_reference_sections(out, settings_sections);
}

void settings_print_reference(void)
{
	auto_buf struct buf out = {0};

	settings_reference(&out);
	fputs(out.data, stdout);
}
