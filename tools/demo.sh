#!/usr/bin/env bash
