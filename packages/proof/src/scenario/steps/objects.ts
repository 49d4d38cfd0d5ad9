/** Steps that write objects as the system's own processes or operators do. */
import {z} from 'zod';
import {ResourceKind} from '@siskinplank/resources';
import {failStep, waitUntil} from '../context';
import type {ScenarioContext} from '../context';
import {sendAdminCall, toResource} from '../operator';
import {defineStep} from '../types';

async function putVersion(
  {cluster}: ScenarioContext,
  kind: ResourceKind,
  name: string,
  value: unknown,
): Promise<boolean> {
  const path = `/v1/objects/${kind}/${encodeURIComponent(name)}`;
  const url = `http://127.0.0.1:${cluster.platform.port}${path}`;
  const found = await fetch(url);
  const {version} = (await found.json()) as {version?: number};
  const response = await fetch(url, {
    method: 'PUT',
    headers: {
      'content-type': 'application/json',
      ...(version === undefined
        ? {'if-none-match': '*'}
        : {'if-match': `"${version}"`}),
    },
    body: JSON.stringify(value),
  });
  await response.text();
  return response.ok;
}

/** Writes an object over whatever version the platform has. */
export const putObjectStep = defineStep(
  z.strictObject({
    kind: z.enum(ResourceKind),
    name: z.string(),
    spec: z.record(z.string(), z.unknown()),
  }),
  ({kind, name, spec}, context) =>
    waitUntil(`${kind} ${name} is written`, () =>
      putVersion(context, kind, name, {name, ...spec}),
    ),
);

/** Lets an operator change the state of an upstream. */
export const upstreamStateStep = defineStep(
  z.strictObject({
    upstream: z.string(),
    state: z.enum(['active', 'leaving']),
    entry: z.string().optional(),
    /** Goes on at once, and whether or not the change is accepted. */
    background: z.boolean().default(false),
  }),
  async ({upstream, state, entry, background}, context) => {
    const {cluster} = context;
    const found = cluster.listUpstreams().find(({name}) => name === upstream);
    if (found === undefined) return failStep(`no upstream ${upstream}`);
    const spec = {...found, state, name: undefined};
    const resource = toResource('Upstream', upstream, spec);
    const node = cluster.entries.find(({name}) => name === entry);
    const sendChange = () =>
      sendAdminCall(
        (node ?? cluster.entries[0]).adminUrl,
        cluster.secrets.bootstrapToken,
        'ApplyResource',
        {resource},
      );
    if (background) {
      context.background.push(sendChange());
      return;
    }
    // On a busy machine, a call to the platform may exceed a short time-out.
    return waitUntil(
      `${upstream} is ${state}`,
      async () => (await sendChange()).isOk,
    );
  },
);
