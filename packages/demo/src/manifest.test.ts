import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {parseAllDocuments} from 'yaml';
import {describe, expect, it} from 'vitest';
import {WORKSPACE_ROOT} from '@siskinplank/proof';
import {ResourceKind, parseResource} from '@siskinplank/resources';
import type {Upstream} from '@siskinplank/resources';
import {renderManifest} from './manifest';

const SAMPLE = readFileSync(join(WORKSPACE_ROOT, 'examples/demo.yaml'), 'utf8');

function parseSample(text: string) {
  return [...parseAllDocuments(text)].map(document => {
    const {kind, name, spec} = document.toJS();
    const parsed = parseResource(kind as ResourceKind, {name, ...spec});
    expect(parsed.isRight(), JSON.stringify(parsed.extract())).toBe(true);
    return {kind, name, value: parsed.extract()};
  });
}

describe('sample configuration', () => {
  // Guards against an invalid sample, and against an address of the sample
  // that is not replaced by the demo's.
  it('is valid, and its addresses are replaced by those of the demo', () => {
    const upstreams = ['engine-1', 'engine-2', 'orders'].map((name, index) => ({
      name,
      address: {host: '127.0.0.1', port: 100 + index},
      side: {host: '127.0.0.1', port: 200 + index},
    }));
    const before = parseSample(SAMPLE);
    const text = renderManifest(SAMPLE, upstreams as Upstream[]);
    const after = parseSample(text);
    expect(after.map(({name}) => name)).toEqual(before.map(({name}) => name));
    const changed = after.filter(({kind}) => kind === ResourceKind.Upstream);
    expect(changed.map(({value}) => value)).toMatchObject(upstreams);
  });
});
