#ifndef PU_SETTINGS_SCHEMA_H
#define PU_SETTINGS_SCHEMA_H

#include "base/json.h"

G_BEGIN_DECLS

/* Schema of the settings file, which is read into a pu_settings_t.  Used only
   in libplantainusher/settings.  */
extern const pu_schema_t pu_settings_schema;

G_END_DECLS

#endif
