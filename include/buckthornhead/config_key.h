/* Table-driven reading of INI files: which sections and keys there are, what their values look
 * like and where they go. Settings and profiles are both read by it. */
#pragma once

#include <buckthornhead/profile.h>
#include <buckthornhead/units.h>

enum
{
  CONFIG_KEYS_MAX = 16, /* of one section */
  CONFIG_SECTIONS_MAX = 10
};

enum ConfigValueKind
{
  CONFIG_VALUE_NUMBER,  /* with .unit, stored as uint32_t or uint64_t */
  CONFIG_VALUE_SECONDS, /* a time of whole seconds, stored in seconds */
  CONFIG_VALUE_CHOICE,  /* one of .choices, stored as int32_t or an enum */
  CONFIG_VALUE_NAME,    /* letters, digits, '-', '_', '.' */
  CONFIG_VALUE_TEXT,
  CONFIG_VALUE_ADDRESS, /* IP:port that others can connect to */
  CONFIG_VALUE_URL      /* http:// or https:// */
};

struct ConfigChoice
{
  const char *word; /* NULL ends the list */
  int32_t value;
};

struct ConfigKey
{
  const char *name;
  enum ConfigValueKind kind;
  size_t offset, size;  /* of the field that takes the value */
  const char *fallback; /* the value when the key is absent; NULL: the key is required */
  enum Unit unit;
  uint64_t min, max; /* NUMBER and SECONDS: in the field's own unit */
  const struct ConfigChoice *choices;
};

#define CONFIG_FIELD(type, field) offsetof (type, field), sizeof (((type *)NULL)->field)

struct ConfigSection
{
  const char *name;
  bool named; /* "[name NAME]", any number of them; else exactly one */
  const struct ConfigKey *keys;
  size_t n_keys;
};

struct ConfigReader;

/* A section starts on line (0: it is absent, its fallbacks are taken). name is "" unless the
 * section is named. Returns the structure that its keys fill, or NULL to leave them out. */
typedef void *(*ConfigOpenFn) (void *data,
                               struct ConfigReader *reader,
                               const struct ConfigSection *section,
                               const char *name,
                               uint32_t line);

struct ConfigReader
{
  const char *file;
  const struct ConfigSection *sections;
  size_t n_sections;
  ConfigOpenFn open;
  void *data;
  struct ConfigFaults *faults;

  /* Filled in by config_read. */
  const struct ConfigSection *section;
  char section_name[NAME_MAX_BYTES + 32];
  void *target;
  uint32_t section_lines[CONFIG_SECTIONS_MAX];              /* 0: not seen */
  uint32_t key_lines[CONFIG_SECTIONS_MAX][CONFIG_KEYS_MAX]; /* of the last one, when named */
};

/* Reads text through the reader's table, adding faults. */
void
config_read (struct ConfigReader *reader, const char *text);

/* Line of a key that was read; its section's, or 1, when it was absent. */
uint32_t
config_reader_line (const struct ConfigReader *reader, const char *section, const char *key);

/* True for 1 to NAME_MAX_BYTES letters, digits, '-', '_' and '.', the first no '.'. */
bool
config_name_is_valid (const char *name);
