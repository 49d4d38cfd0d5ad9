/** Check that no engine was ever given more than its memory. */
import {z} from 'zod';
import type {MemoryRecord} from '@siskinplank/stand-ins';
import {defineCheck} from '../types';

/** Engines recorded no overcommitment. */
export const memoryCheck = defineCheck(
  z.strictObject({}).nullish(),
  async (_, {cluster}) => {
    const problems: string[] = [];
    const engines = cluster
      .listUpstreams()
      .filter(({type}) => type === 'engine');
    for (const {name} of engines) {
      const record = (await cluster
        .getStandIn(name)
        .requestJson('GET', '/control/memory')) as MemoryRecord;
      if (record.overcommitted > 0 || record.highWaterMiB > record.totalMiB) {
        problems.push(`${name}: ${JSON.stringify(record)}`);
      }
    }
    return problems;
  },
);
