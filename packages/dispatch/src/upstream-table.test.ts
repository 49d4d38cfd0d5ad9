import {UpstreamState} from '@siskinplank/serving';
import type {Upstream} from '@siskinplank/serving';
import {describe, expect, it} from 'vitest';
import {createUpstreamTable} from './upstream-table';

const INHERITED_NAMES = Object.getOwnPropertyNames(Object.prototype);

function makeUpstream(id: string): Upstream {
  return {
    id,
    service: 'llm',
    address: {host: '10.0.0.1', port: 80},
    failureDomain: 'a',
    softwareVersion: '',
    slots: 8,
    state: UpstreamState.Ready,
    startedAtMs: 1,
    models: undefined,
    orderSequence: 0,
    remainingMs: undefined,
  };
}

describe('upstream table', () => {
  // Names come from other processes; some name what each record inherits.
  it.each(INHERITED_NAMES)('counts load under the model name %s', model => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1')]);
    const open = table.open('u1', model, 10, 30);
    const {u1: load} = table.collectLocalLoad(true);
    expect(Object.entries(load)).toEqual([[model, [1, 10, 30]]]);
    expect(Object.keys(Object.prototype)).toEqual([]);
    expect(Object.keys(Object.prototype.toString)).toEqual([]);
    open.end();
    expect(table.collectLocalLoad(true)).toEqual({});
  });

  // Guards against requests sent on to an upstream that has said it lacks a model.
  it('leaves out a model that an upstream lacks until a newer state', () => {
    const table = createUpstreamTable();
    const upstream = {
      ...makeUpstream('u1'),
      models: ['m', 'n'].map(name => ({name, version: 1, adapters: []})),
    };
    const listModels = (): string[] => [
      ...(table.getEntry('u1')?.modelState.models.keys() ?? []),
    ];
    table.setUpstreams([upstream]);
    table.removeModel({...upstream, startedAtMs: -1}, 'm', 0);
    expect(listModels()).toEqual(['m', 'n']);
    table.removeModel(upstream, 'm', 0);
    table.setUpstreams([upstream]);
    expect(listModels()).toEqual(['n']);
    table.setModelState('u1', upstream.startedAtMs, {
      models: new Map([['m', new Set<string>()]]),
      arriving: undefined,
      warmLoadMs: new Map(),
      receivedAtMs: 0,
    });
    expect(listModels()).toEqual(['m']);
    // The answer to a request that was sent before the state was received.
    table.removeModel(upstream, 'm', -1);
    expect(listModels()).toEqual(['m']);
  });

  it.each(INHERITED_NAMES)('reads the state of peers about the id %s', id => {
    const table = createUpstreamTable();
    table.setPeerLoad('peer', {other: {'': [1, 10, 30]}});
    table.setUpstreams([makeUpstream(id)]);
    table.setPeerFaults('peer', {other: 1}, 0);
    const entry = table.getEntry(id);
    expect(entry?.getFaultWeight(0)).toBe(0);
    expect(entry?.open.requests).toBe(0);
    const open = Object.fromEntries([[id, {'': [2, 20, 40] as const}]]);
    table.setPeerLoad('peer', open);
    expect(entry?.open.requests).toBe(2);
    table.setPeerLoad('peer', {});
    expect(entry?.open.requests).toBe(0);
  });

  it.each(INHERITED_NAMES)('describes its own state of the id %s', id => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream(id)]);
    table.recordFault(id, 1, 0);
    expect(Object.entries(table.collectLocalFaults(0))).toEqual([[id, 1]]);
    table.open(id, '', 10, 30);
    const load = Object.entries(table.collectLocalLoad(false));
    expect(load).toEqual([[id, {'': [1, 10, 30]}]]);
  });
});
