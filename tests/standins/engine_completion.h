/* POST /v1/chat/completions of the engine stand-in, whole or streamed. */
#pragma once

#include "engine_model.h"
#include "http_server.h"

/* Responds to request in the format of the OpenAI chat API. model_name must outlive the request. */
enum MHD_Result
engine_complete (struct EngineModel *model, const char *model_name, struct StandinRequest *request);
