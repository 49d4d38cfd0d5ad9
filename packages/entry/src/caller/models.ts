/** Models and adapters that a client account may use. */
import type {ConfigurationView} from '@siskinplank/configuration';
import {Either, Left, Right} from 'purify-ts';
import {RefusalCode, ResourceKind} from '@siskinplank/resources';
import type {ClientAccount, Model} from '@siskinplank/resources';
import {canUseModel} from '../authentication/authenticate';
import {makeRefusal} from '../refusals';
import type {Refusal} from '../refusals';

/** An entry of the model list in the format of the OpenAI API. */
export interface ModelEntry {
  id: string;
  object: 'model';
  created: number;
  owned_by: string;
}

/** A model or adapter that a request named. */
export interface ResolvedModel {
  model: Model;
  adapter: string | undefined;
}

const OWNER = 'siskinplank';

/** Lists the models and adapters that the account may use. */
export function listModelEntries(
  account: ClientAccount,
  configuration: ConfigurationView,
): readonly ModelEntry[] {
  const names = [
    ...configuration.listObjects(ResourceKind.Model),
    ...configuration.listObjects(ResourceKind.Adapter),
  ].map(object => object.name);
  return [...new Set(names)]
    .filter(name => canUseModel(account, name))
    .sort()
    .map(id => ({id, object: 'model', created: 0, owned_by: OWNER}));
}

/** Finds a model or adapter by name and checks the account's permission. */
export function resolveModel(
  name: string,
  account: ClientAccount,
  configuration: ConfigurationView,
): Either<Refusal, ResolvedModel> {
  const adapter = configuration.getObject(ResourceKind.Adapter, name);
  const model = configuration.getObject(
    ResourceKind.Model,
    adapter?.value.model ?? name,
  );
  if (model === undefined) {
    return Left(
      makeRefusal(
        RefusalCode.ModelNotFound,
        'The requested model does not exist.',
        {param: 'model'},
      ),
    );
  }
  if (!canUseModel(account, name)) {
    return Left(
      makeRefusal(
        RefusalCode.NotPermitted,
        'The client account may not use the requested model.',
        {param: 'model'},
      ),
    );
  }
  return Right({model: model.value, adapter: adapter?.value.name});
}
