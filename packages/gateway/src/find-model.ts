/** Finds models in the configuration in force. */
import type {ModelSpec, RouteTable} from '@siskinplank/serving';

/** Finds a model of a service; undefined if the service does not offer it. */
export function findModel(
  table: RouteTable | undefined,
  service: string,
  model: string,
): ModelSpec | undefined {
  const {engine} = table?.configuration.services.get(service) ?? {};
  return engine?.models.get(model);
}
