/* Table-driven reading of INI files, used for settings and for profiles. The tables list the
 * sections, their keys, the form of each value and the structure field that stores it. */
#pragma once

#include <buckthornhead/profile.h>
#include <buckthornhead/units.h>

enum
{
  CONFIG_KEYS_MAX = 16, /* per section */
  CONFIG_SECTIONS_MAX = 16
};

enum ConfigValueKind
{
  CONFIG_VALUE_NUMBER,  /* with .unit, stored as uint32_t or uint64_t */
  CONFIG_VALUE_SECONDS, /* a time in whole seconds, stored in seconds */
  CONFIG_VALUE_CHOICE,  /* one of .choices, stored as int32_t or an enum */
  CONFIG_VALUE_NAME,    /* letters, digits, '-', '_', '.' */
  CONFIG_VALUE_TEXT,
  CONFIG_VALUE_ADDRESS, /* IP:port, not a wildcard address */
  CONFIG_VALUE_URL      /* http:// or https:// */
};

struct ConfigChoice
{
  const char *text; /* NULL ends the list */
  int32_t value;
};

struct ConfigKey
{
  const char *name;
  enum ConfigValueKind kind;
  size_t offset, size;      /* of the field that stores the value */
  const char *default_text; /* default value; NULL: the key is required */
  enum Unit unit;
  uint64_t min, max; /* for NUMBER and SECONDS, in the field's unit */
  const struct ConfigChoice *choices;
};

#define CONFIG_FIELD(type, field) offsetof (type, field), sizeof (((type *)NULL)->field)

struct ConfigSection
{
  const char *name;
  bool named; /* written "[name NAME]", may repeat; others appear at most once */
  const struct ConfigKey *keys;
  size_t n_keys;
};

struct ConfigReader;

/* Called when a section starts on line; line 0 means that it is absent and gets its defaults. name
 * is "" unless the section is named. Returns the structure to store the values in, or NULL to skip
 * the section. */
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

  /* Set by config_read. */
  const struct ConfigSection *section;
  char section_name[NAME_MAX_BYTES + 32];
  void *target;
  uint32_t section_lines[CONFIG_SECTIONS_MAX];              /* 0: not seen */
  uint32_t key_lines[CONFIG_SECTIONS_MAX][CONFIG_KEYS_MAX]; /* of the last section, if named */
};

/* Reads text according to the reader's tables and adds a fault for each error. */
void
config_read (struct ConfigReader *reader, const char *text);

/* Returns the line of a key; the line of its section if the key is absent; 1 if both are. */
uint32_t
config_reader_line (const struct ConfigReader *reader, const char *section, const char *key);

/* True for 1 to NAME_MAX_BYTES letters, digits, '-', '_' and '.', not starting with '.'. */
bool
config_name_is_valid (const char *name);
